package mountmast.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SettingsTest {
    private val good = """
        node = "n-0"
        site = "east"
        serve_on = "127.0.0.1:8080"
        peer_listen = "127.0.0.1:8081"
        unknown = "ignored"
        [[members]]
        node = "n-1"
        site = "west"
        endpoint = "127.0.0.2:8081"
        [endpoints]
        cloud = "127.0.0.3:1"
        state = "127.0.0.3:2"
        [deployment]
        size = 2
        [[deployment.teams]]
        name = "t"
        cpus = 4.0
        cpus_max = 8.0
        gpus = 0.0
        gpus_max = 0.0
        [deployment.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 40.0
        [deployment.state]
        rps = 80.0
        write_rps = 30.0
        value_kb = 8.0
        txn_ops = 16
        [deployment.cloud]
        rps = 5.0
        list_lag_s = 3.0
        [deployment.resources]
        max_connections = 100
    """.trimIndent()

    @Test
    fun `settings are read from the platform's file and unknown fields are ignored`() {
        val settings = Settings.parse(good)
        assertEquals(2, settings.nodeCount)
        assertEquals(8.0, settings.teams.getValue(TeamId("t")).cpusMax)
        assertEquals(8081, settings.members.single().endpoint.port)
    }

    @Test
    fun `settings that are missing, unreadable or contradictory are rejected with a message that names the field`() {
        val cases = mapOf(
            "serve_on = \"127.0.0.1:8080\"" to "" to "serve_on",
            "serve_on = \"127.0.0.1:8080\"" to "serve_on = \"8080\"" to "serve_on",
            "size = 2" to "size = 3" to "deployment.size",
            "lease_s = 10.0" to "lease_s = 0.5" to "deployment.workers.lease_s",
            "cpus_max = 8.0" to "cpus_max = 2.0" to "deployment.teams[0].cpus_max",
            "rps = 80.0" to "rps = \"many\"" to "deployment.state.rps",
            "txn_ops = 16" to "txn_ops = 1.5" to "deployment.state.txn_ops",
            "node = \"n-1\"" to "node = \"n-0\"" to "members",
        )
        for ((change, field) in cases) {
            val refused = assertThrows(InvalidSettingsException::class.java) { Settings.parse(good.replace(change.first, change.second)) }
            assertTrue(refused.message!!.startsWith(field), refused.message)
        }
        assertThrows(InvalidSettingsException::class.java) { Settings.parse("node = ") }
    }

    private fun withNext(fields: String) = good.replace("[deployment.cloud]", "[deployment.state.next]\n$fields\n[deployment.cloud]")

    @Test
    fun `of each limit of the state service the lower of the current and the announced one applies from the start`() {
        assertEquals(StateLimits(80.0, 30.0, 8.0, 16), Settings.parse(good).stateLimits)
        val lower = Settings.parse(withNext("write_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 5\nunknown = 1")).stateLimits
        assertEquals(StateLimits(80.0, 21.0, 2.0, 5), lower)
        // An announced limit that is higher than the current one does not apply yet.
        val mixed = Settings.parse(withNext("rps = 40.0\nwrite_rps = 60.0\ntxn_ops = 64")).stateLimits
        assertEquals(StateLimits(40.0, 30.0, 8.0, 16), mixed)
        assertEquals(Settings.parse(good), Settings.parse(withNext("")))
    }

    @Test
    fun `announced limits are validated like the current ones`() {
        for ((line, field) in listOf(
            "rps = \"many\"" to "rps",
            "write_rps = 0.0" to "write_rps",
            "value_kb = -1.0" to "value_kb",
            "txn_ops = 1.5" to "txn_ops",
            "txn_ops = 1" to "txn_ops",
        )) {
            val refused = assertThrows(InvalidSettingsException::class.java) { Settings.parse(withNext(line)) }
            assertTrue(refused.message!!.startsWith("deployment.state.next.$field"), refused.message)
        }
        val notTable = good.replace("txn_ops = 16", "txn_ops = 16\nnext = 3")
        assertThrows(InvalidSettingsException::class.java) { Settings.parse(notTable) }
    }
}
