package mountmast.coordination.controller

import mountmast.coordination.autoscaling.AutoscalingPolicy
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.transport.AdmissionLimit
import java.io.IOException
import java.io.InputStream

/** The range of the adaptive admission limits: how many submissions, and how many polls, may be in progress at once. */
data class AdmissionRange(val minRequests: Int = 8, val maxRequests: Int = 24) {
    /** Creates a limit that adapts to the load within this range; each kind of request needs its own limit. */
    fun createLimit() = AdmissionLimit(minRequests, maxRequests)
}

/**
 * Settings of the scheduler, the autoscaler and admission that operators may change, read from an XML file of their own, apart from
 * the settings of the deployment. Every value has a default. An element that is unknown, repeated or out of range is rejected with
 * its line number.
 */
data class OperatorSettings(
    /** Element `scheduler`: the order, placement and preemption of tasks. */
    val scheduling: SchedulingPolicy = SchedulingPolicy(),
    /** Element `fleet`: when idle machines are scaled in, and how often requests to the cloud are made or repeated. */
    val autoscaling: AutoscalingPolicy = AutoscalingPolicy(),
    /** Element `overload`: how many requests of users may be in progress at once. */
    val admission: AdmissionRange = AdmissionRange(),
) {
    companion object {
        /**
         * Reads the XML file that [open] opens; [name] stands for the file in error messages.
         *
         * @throws InvalidSettingsException if the file cannot be read, is not well-formed or holds an invalid element.
         */
        fun read(name: String, open: () -> InputStream): OperatorSettings = try {
            open().use { OperatorSettingsReader(name, it).read() }
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read $name: ${e.message}")
        }
    }
}

/** Reads one file of operators' settings; [name] stands for it in error messages. */
private class OperatorSettingsReader(private val name: String, input: InputStream) {
    private val xml = SettingsXml(name, input)
    private var settings = OperatorSettings()

    fun read(): OperatorSettings {
        xml.readRoot("mountmast") { section ->
            xml.rejectDuplicate(section)
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
        xml.rejectDuplicate("scheduler/$element")
        val policy = settings.scheduling
        settings = settings.copy(
            scheduling = when (element) {
                "smoothing" -> policy.copy(smoothing = xml.readNumber(element, 0.01, 1.0))
                "borrowing" -> policy.copy(borrowingFactor = xml.readNumber(element, 1.0, 100.0))
                "overhead-weight" -> policy.copy(overheadWeight = xml.readNumber(element, 0.0, 100.0))
                "fragment-weight" -> policy.copy(fragmentationWeight = xml.readNumber(element, 0.0, 100.0))
                "pass-ms" -> policy.copy(cycleMs = xml.readWholeNumber(element, 50, 60_000).toLong())
                "run-decay" -> policy.copy(runDecay = xml.readNumber(element, 0.0, 0.99))
                "evictions-per-pass" -> policy.copy(preemptionsPerCycle = xml.readWholeNumber(element, 0, 1000))
                "starts-per-pass" -> policy.copy(startsPerCycle = xml.readWholeNumber(element, 1, 10_000))
                else -> xml.rejectUnknown(element)
            },
        )
    }

    private fun readGuaranteedFrom() {
        val team = xml.readAttribute("team")
        xml.rejectDuplicate("guaranteed-from of ${team ?: "all teams"}")
        val urgency = when (val value = xml.readText("guaranteed-from")) {
            "prod" -> Urgency.PRODUCTION
            "high" -> Urgency.HIGH
            "normal" -> Urgency.NORMAL
            "best_effort" -> Urgency.BEST_EFFORT
            else -> xml.reject("<guaranteed-from>: unknown urgency '$value'")
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
        xml.rejectDuplicate("fleet/$element")
        val policy = settings.autoscaling
        settings = settings.copy(
            autoscaling = when (element) {
                "idle-return-s" -> policy.copy(idleTimeoutMs = xml.readMilliseconds(element, 5.0, 86_400.0))
                "no-capacity-pause-s" -> policy.copy(noCapacityBackoffMs = xml.readMilliseconds(element, 1.0, 3600.0))
                "list-every-s" -> policy.copy(listIntervalMs = xml.readMilliseconds(element, 1.0, 600.0))
                "types-every-s" -> policy.copy(typesIntervalMs = xml.readMilliseconds(element, 5.0, 86_400.0))
                else -> xml.rejectUnknown(element)
            },
        )
    }

    private fun readAdmission(element: String) {
        xml.rejectDuplicate("overload/$element")
        val admission = settings.admission
        settings = settings.copy(
            admission = when (element) {
                "least-requests" -> admission.copy(minRequests = xml.readWholeNumber(element, 1, 1000))
                "most-requests" -> admission.copy(maxRequests = xml.readWholeNumber(element, 1, 1000))
                else -> xml.rejectUnknown(element)
            },
        )
    }
}
