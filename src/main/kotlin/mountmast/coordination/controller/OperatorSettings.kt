package mountmast.coordination.controller

import mountmast.coordination.autoscaling.AutoscalingPolicy
import mountmast.coordination.scheduling.SchedulingPolicy
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.transport.AdmissionLimit
import java.io.IOException
import java.io.InputStream
import javax.xml.stream.XMLInputFactory
import javax.xml.stream.XMLStreamConstants
import javax.xml.stream.XMLStreamException
import javax.xml.stream.XMLStreamReader

/** How many submissions, and how many polls, may be in progress at once, at the least and at the most. */
data class Admission(val least: Int = 8, val most: Int = 24) {
    fun limit() = AdmissionLimit(least, most)
}

/**
 * What operators may set beyond the platform's file. Every value has a default; whatever the file holds beyond the
 * elements known here, or outside their ranges, is refused with its line.
 */
data class OperatorSettings(
    val policy: SchedulingPolicy = SchedulingPolicy(),
    val fleet: AutoscalingPolicy = AutoscalingPolicy(),
    val admission: Admission = Admission(),
) {
    companion object {
        fun read(name: String, open: () -> InputStream): OperatorSettings = try {
            open().use { Reader(name, it).read() }
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read $name: ${e.message}")
        }
    }

    private class Reader(private val name: String, input: InputStream) {
        private val xml: XMLStreamReader = XMLInputFactory.newFactory().apply {
            // A settings file has no business fetching anything.
            setProperty(XMLInputFactory.SUPPORT_DTD, false)
            setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false)
        }.createXMLStreamReader(input)
        private var settings = OperatorSettings()
        private val seen = HashSet<String>()

        fun read(): OperatorSettings = try {
            xml.nextTag()
            if (xml.localName != "mountmast") refuse("the root is not <mountmast>")
            sections()
            if (settings.admission.least > settings.admission.most) {
                throw InvalidSettingsException("$name: <least-requests> is above <most-requests>")
            }
            settings
        } catch (e: XMLStreamException) {
            throw InvalidSettingsException("$name, line ${e.location?.lineNumber ?: 0}: not well-formed XML")
        }

        private fun sections() = children { section ->
            once(section)
            when (section) {
                "scheduler" -> children { scheduler(it) }
                "fleet" -> children { fleet(it) }
                "overload" -> children { overload(it) }
                else -> refuse("unknown element <$section>")
            }
        }

        private fun scheduler(element: String) {
            if (element == "guaranteed-from") return guaranteedFrom()
            once("scheduler/$element")
            val policy = settings.policy
            settings = settings.copy(
                policy = when (element) {
                    "smoothing" -> policy.copy(smoothing = number(element, 0.01, 1.0))
                    "borrowing" -> policy.copy(borrowingFactor = number(element, 1.0, 100.0))
                    "overhead-weight" -> policy.copy(overheadWeight = number(element, 0.0, 100.0))
                    "fragment-weight" -> policy.copy(fragmentationWeight = number(element, 0.0, 100.0))
                    "pass-ms" -> policy.copy(cycleMs = whole(element, 50, 60_000).toLong())
                    "run-decay" -> policy.copy(runDecay = number(element, 0.0, 0.99))
                    "evictions-per-pass" -> policy.copy(preemptionsPerCycle = whole(element, 0, 1000))
                    "starts-per-pass" -> policy.copy(startsPerCycle = whole(element, 1, 10_000))
                    else -> refuse("unknown element <$element>")
                },
            )
        }

        private fun guaranteedFrom() {
            val team = xml.getAttributeValue(null, "team")
            once("guaranteed-from of ${team ?: "all teams"}")
            val urgency = when (val word = text("guaranteed-from")) {
                "prod" -> Urgency.PRODUCTION
                "high" -> Urgency.HIGH
                "normal" -> Urgency.NORMAL
                "best_effort" -> Urgency.BEST_EFFORT
                else -> refuse("<guaranteed-from>: unknown urgency '$word'")
            }
            val policy = settings.policy
            settings = settings.copy(
                policy = if (team == null) {
                    policy.copy(guaranteedFrom = urgency)
                } else {
                    policy.copy(guaranteedFromOf = policy.guaranteedFromOf + (TeamId(team) to urgency))
                },
            )
        }

        private fun fleet(element: String) {
            once("fleet/$element")
            val fleet = settings.fleet
            settings = settings.copy(
                fleet = when (element) {
                    "idle-return-s" -> fleet.copy(idleTimeoutMs = millis(element, 5.0, 86_400.0))
                    "no-capacity-pause-s" -> fleet.copy(noCapacityBackoffMs = millis(element, 1.0, 3600.0))
                    "list-every-s" -> fleet.copy(listIntervalMs = millis(element, 1.0, 600.0))
                    "types-every-s" -> fleet.copy(typesIntervalMs = millis(element, 5.0, 86_400.0))
                    else -> refuse("unknown element <$element>")
                },
            )
        }

        private fun overload(element: String) {
            once("overload/$element")
            val admission = settings.admission
            settings = settings.copy(
                admission = when (element) {
                    "least-requests" -> admission.copy(least = whole(element, 1, 1000))
                    "most-requests" -> admission.copy(most = whole(element, 1, 1000))
                    else -> refuse("unknown element <$element>")
                },
            )
        }

        private inline fun children(act: (String) -> Unit) {
            while (true) {
                when (xml.next()) {
                    XMLStreamConstants.START_ELEMENT -> act(xml.localName)
                    XMLStreamConstants.END_ELEMENT -> return
                    XMLStreamConstants.CHARACTERS -> if (!xml.isWhiteSpace) refuse("text where only elements may be")
                }
            }
        }

        private fun once(element: String) {
            if (!seen.add(element)) refuse("<$element> is there twice")
        }

        private fun text(element: String): String = try {
            xml.elementText.trim()
        } catch (e: XMLStreamException) {
            refuse("<$element> must hold a value only")
        }

        private fun number(element: String, least: Double, most: Double): Double {
            val number = text(element).toDoubleOrNull()
            if (number == null || !number.isFinite() || number < least || number > most) {
                refuse("<$element> must be a number from $least to $most")
            }
            return number
        }

        private fun whole(element: String, least: Int, most: Int): Int {
            val number = text(element).toIntOrNull()
            if (number == null || number < least || number > most) refuse("<$element> must be a whole number from $least to $most")
            return number
        }

        private fun millis(element: String, least: Double, most: Double) = (number(element, least, most) * 1000).toLong()

        private fun refuse(why: String): Nothing = throw InvalidSettingsException("$name, line ${xml.location.lineNumber}: $why")
    }
}
