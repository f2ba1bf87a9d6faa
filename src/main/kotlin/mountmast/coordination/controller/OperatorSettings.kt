package mountmast.coordination.controller

import mountmast.coordination.autoscaling.AutoscalingPolicy
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.transport.AdmissionLimit
import java.io.IOException
import java.io.InputStream

/** The range within which the number of submissions in progress adapts to the load, and that of polls likewise. */
data class AdmissionRange(val minRequests: Int = 8, val maxRequests: Int = 24) {
    /** Creates a limit that adapts within this range; each kind of request needs one of its own. */
    fun limit() = AdmissionLimit(minRequests, maxRequests)
}

/**
 * What operators may set beyond the platform's file. Every value has a default; an element that is unknown, repeated or outside
 * its range is rejected with its line.
 */
data class OperatorSettings(
    /** Element `scheduler`: order, placement and preemption of tasks. */
    val scheduling: SchedulingPolicy = SchedulingPolicy(),
    /** Element `fleet`: when machines are scaled in and the cloud is asked. */
    val autoscaling: AutoscalingPolicy = AutoscalingPolicy(),
    /** Element `overload`: how many requests of users are in progress at once. */
    val admission: AdmissionRange = AdmissionRange(),
) {
    companion object {
        /**
         * Reads the XML that [open] returns; [name] stands for it in messages.
         *
         * @throws InvalidSettingsException if the input cannot be read, is not well-formed or holds an invalid element.
         */
        fun read(name: String, open: () -> InputStream): OperatorSettings = try {
            open().use { OperatorSettingsReader(name, it).read() }
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read $name: ${e.message}")
        }
    }
}

/** Reads one file of operators' settings. */
private class OperatorSettingsReader(private val name: String, input: InputStream) {
    private val xml = SettingsXml(name, input)
    private var settings = OperatorSettings()

    fun read(): OperatorSettings {
        xml.readRoot("mountmast") { section ->
            xml.requireFirst(section)
            when (section) {
                "scheduler" -> xml.readChildren(::readScheduling)
                "fleet" -> xml.readChildren(::readAutoscaling)
                "overload" -> xml.readChildren(::readAdmission)
                else -> xml.rejectUnknown(section)
            }
        }
        if (settings.admission.minRequests > settings.admission.maxRequests) {
            throw InvalidSettingsException("$name: <least-requests> is above <most-requests>")
        }
        return settings
    }

    private fun readScheduling(element: String) {
        if (element == "guaranteed-from") return readGuaranteedFrom()
        xml.requireFirst("scheduler/$element")
        val policy = settings.scheduling
        settings = settings.copy(
            scheduling = when (element) {
                "smoothing" -> policy.copy(smoothing = xml.number(element, 0.01, 1.0))
                "borrowing" -> policy.copy(borrowingFactor = xml.number(element, 1.0, 100.0))
                "overhead-weight" -> policy.copy(overheadWeight = xml.number(element, 0.0, 100.0))
                "fragment-weight" -> policy.copy(fragmentationWeight = xml.number(element, 0.0, 100.0))
                "pass-ms" -> policy.copy(cycleMs = xml.wholeNumber(element, 50, 60_000).toLong())
                "run-decay" -> policy.copy(runDecay = xml.number(element, 0.0, 0.99))
                "evictions-per-pass" -> policy.copy(preemptionsPerCycle = xml.wholeNumber(element, 0, 1000))
                "starts-per-pass" -> policy.copy(startsPerCycle = xml.wholeNumber(element, 1, 10_000))
                else -> xml.rejectUnknown(element)
            },
        )
    }

    private fun readGuaranteedFrom() {
        val team = xml.attribute("team")
        xml.requireFirst("guaranteed-from of ${team ?: "all teams"}")
        val urgency = when (val word = xml.text("guaranteed-from")) {
            "prod" -> Urgency.PRODUCTION
            "high" -> Urgency.HIGH
            "normal" -> Urgency.NORMAL
            "best_effort" -> Urgency.BEST_EFFORT
            else -> xml.reject("<guaranteed-from>: unknown urgency '$word'")
        }
        val policy = settings.scheduling
        settings = settings.copy(
            scheduling = if (team == null) {
                policy.copy(guaranteedFrom = urgency)
            } else {
                policy.copy(guaranteedFromByTeam = policy.guaranteedFromByTeam + (TeamId(team) to urgency))
            },
        )
    }

    private fun readAutoscaling(element: String) {
        xml.requireFirst("fleet/$element")
        val policy = settings.autoscaling
        settings = settings.copy(
            autoscaling = when (element) {
                "idle-return-s" -> policy.copy(idleTimeoutMs = xml.milliseconds(element, 5.0, 86_400.0))
                "no-capacity-pause-s" -> policy.copy(noCapacityBackoffMs = xml.milliseconds(element, 1.0, 3600.0))
                "list-every-s" -> policy.copy(listIntervalMs = xml.milliseconds(element, 1.0, 600.0))
                "types-every-s" -> policy.copy(typesIntervalMs = xml.milliseconds(element, 5.0, 86_400.0))
                else -> xml.rejectUnknown(element)
            },
        )
    }

    private fun readAdmission(element: String) {
        xml.requireFirst("overload/$element")
        val admission = settings.admission
        settings = settings.copy(
            admission = when (element) {
                "least-requests" -> admission.copy(minRequests = xml.wholeNumber(element, 1, 1000))
                "most-requests" -> admission.copy(maxRequests = xml.wholeNumber(element, 1, 1000))
                else -> xml.rejectUnknown(element)
            },
        )
    }
}
