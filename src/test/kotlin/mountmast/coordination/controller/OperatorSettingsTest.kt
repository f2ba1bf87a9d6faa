package mountmast.coordination.controller

import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

class OperatorSettingsTest {
    private fun read(xml: String) = OperatorSettings.read("test.xml") { xml.byteInputStream() }

    @Test
    fun `the example holds the defaults`() =
        assertEquals(OperatorSettings(), OperatorSettings.read("example") { File("deploy/mountmast.example.xml").inputStream() })

    @Test
    fun `values in the file override the defaults`() {
        val settings = read(
            """<mountmast><scheduler><borrowing>3</borrowing><guaranteed-from team="t">high</guaranteed-from></scheduler>
               <fleet><idle-return-s>90</idle-return-s></fleet></mountmast>""",
        )
        assertEquals(3.0, settings.scheduling.borrowingFactor)
        assertEquals(Urgency.HIGH, settings.scheduling.guaranteeThreshold(TeamId("t")))
        assertEquals(Urgency.NORMAL, settings.scheduling.guaranteeThreshold(TeamId("other")))
        assertEquals(90_000L, settings.autoscaling.idleTimeoutMs)
    }

    @Test
    fun `unknown, repeated and out-of-range elements are rejected with line and element name`() {
        val cases = mapOf(
            "<mountmast>\n<scheduler><speed>1</speed></scheduler></mountmast>" to listOf("line 2", "speed"),
            "<mountmast>\n<scheduler/>\n<scheduler/></mountmast>" to listOf("line 3", "scheduler"),
            "<mountmast><fleet>\n<idle-return-s>-1</idle-return-s></fleet></mountmast>" to listOf("line 2", "idle-return-s"),
            "<mountmast><scheduler><smoothing>NaN</smoothing></scheduler></mountmast>" to listOf("smoothing"),
            "<mountmast><scheduler><pass-ms>12.5</pass-ms></scheduler></mountmast>" to listOf("pass-ms"),
            "<mountmast>text</mountmast>" to listOf("text"),
            "<other/>" to listOf("root"),
            "<mountmast>" to listOf("well-formed"),
            "<mountmast><overload><least-requests>9</least-requests><most-requests>3</most-requests></overload></mountmast>" to
                listOf("least-requests"),
        )
        for ((xml, expectedWords) in cases) {
            val exception = assertThrows(InvalidSettingsException::class.java, { read(xml) }, xml)
            for (word in expectedWords) assertTrue(word in exception.message!!, exception.message)
        }
    }
}
