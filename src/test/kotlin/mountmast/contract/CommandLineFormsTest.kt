package mountmast.contract

import com.sun.net.httpserver.HttpServer
import mountmast.CommandLineTool
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.IOException
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * Compares the output and the exit codes of the command line with `help.txt` (help and version), `commands.txt` (outcomes and wrong
 * usage) and `settings.txt` (errors in the platform's settings and in the operators' XML). The files contain `DIR` and `PORT` in
 * place of paths and ports that differ between runs.
 */
class CommandLineFormsTest {
    @TempDir
    lateinit var directory: File

    private class Outcome(val code: Int, val out: String, val error: String)

    private fun run(vararg args: String, tool: CommandLineTool = CommandLineTool { _, _ -> }): Outcome {
        val out = ByteArrayOutputStream()
        val error = ByteArrayOutputStream()
        val originalOut = System.out
        val originalError = System.err
        System.setOut(PrintStream(out, true))
        System.setErr(PrintStream(error, true))
        try {
            val code = tool.run(arrayOf(*args))
            return Outcome(code, out.toString(), error.toString())
        } finally {
            System.setOut(originalOut)
            System.setErr(originalError)
        }
    }

    private fun TextFixture.add(name: String, outcome: Outcome, port: Int? = null) {
        fun replaceVariableParts(text: String): String {
            val withoutPath = text.trimEnd('\n').replace(directory.path, "DIR")
            return if (port == null) withoutPath else withoutPath.replace(":$port", ":PORT")
        }
        addLine(name, outcome.code, "out: ${replaceVariableParts(outcome.out)}", "error: ${replaceVariableParts(outcome.error)}")
    }

    private fun writeFile(name: String, text: String) = directory.resolve(name).apply { writeText(text) }.path

    @Test
    fun `help and version are those in the file`() {
        val fixture = TextFixture("help.txt")
        val calls = listOf(listOf("--help"), listOf("-h"), listOf("--version"), listOf("-V")) +
            listOf("submit", "status", "cancel").flatMap { listOf(listOf(it, "--help"), listOf(it, "--version")) }
        for (call in calls) {
            val outcome = run(*call.toTypedArray())
            fixture.addText(
                "== mountmast ${call.joinToString(" ")}: exit code ${outcome.code}, ${outcome.error.length} characters of errors",
            )
            fixture.addText(outcome.out)
        }
        fixture.assertUnchanged()
    }

    @Test
    fun `outcomes and wrong usage are those in the file`() {
        val fixture = TextFixture("commands.txt")
        val wrongUsages = listOf(
            "", "--nope", "nope", "--config", "--tuning DIR/none.xml", "--check", "--config DIR/none.toml",
            "--config DIR/none.toml --check", "submit", "status j-1", "cancel j-1", "status --node 127.0.0.1:9",
            "status j-1 j-2 --node 127.0.0.1:9", "status j-1 --nope",
            "status j-1 --node nowhere", "status j-1 --node :9", "cancel j-1 --node host:0", "submit DIR/job.json --node host:65536",
            "submit DIR/none.json --node 127.0.0.1:9",
        )
        for (line in wrongUsages) {
            val args = line.split(' ').filter { it.isNotEmpty() }.map { it.replace("DIR", directory.path) }
            fixture.add("mountmast $line".trim(), run(*args.toTypedArray()))
        }
        addServerResponses(fixture)
        val config = writeFile("service.toml", GOOD_SETTINGS)
        fixture.add("settings checked", run("--config", config, "--check"))
        fixture.add("served until stopped", run("--config", config))
        val toolWithAddressInUse = CommandLineTool { _, _ -> throw IOException("in use") }
        fixture.add("address in use", run("--config", config, tool = toolWithAddressInUse))
        fixture.assertUnchanged()
    }

    private fun addServerResponses(fixture: TextFixture) {
        var status = 200
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/") { exchange ->
            val body = "${exchange.requestMethod} ${exchange.requestURI} ${exchange.requestBody.readBytes().decodeToString()}".trim()
            exchange.sendResponseHeaders(status, body.length.toLong())
            exchange.responseBody.use { it.write(body.toByteArray()) }
        }
        server.start()
        val port = server.address.port
        val node = "127.0.0.1:$port"
        val job = writeFile("job.json", "{}")
        try {
            fixture.add("submit, answered 200", run("submit", job, "--node", node), port)
            fixture.add("status, answered 200", run("status", "j-1", "--node", node), port)
            fixture.add("cancel, answered 200", run("cancel", "j-1", "--node", node), port)
            for (code in listOf(201, 400, 404, 422, 429, 500, 503)) {
                status = code
                fixture.add("status, answered $code", run("status", "j-1", "--node", node), port)
            }
        } finally {
            server.stop(0)
        }
        fixture.add("status, no answer", run("status", "j-1", "--node", node), port)
    }

    @Test
    fun `refusals of settings are those in the file`() {
        val fixture = TextFixture("settings.txt")
        for ((old, new) in SETTINGS_CHANGES) {
            check(old in GOOD_SETTINGS) { old }
            val config = writeFile("service.toml", GOOD_SETTINGS.replaceFirst(old, new))
            fixture.add("settings, '$old' replaced by '$new'", run("--config", config, "--check"))
        }
        val config = writeFile("service.toml", GOOD_SETTINGS)
        for (xml in TUNINGS) {
            fixture.add("tuning, $xml", run("--config", config, "--tuning", writeFile("tuning.xml", xml), "--check"))
        }
        fixture.add("tuning, no such file", run("--config", config, "--tuning", directory.resolve("none.xml").path, "--check"))
        fixture.assertUnchanged()
    }

    private companion object {
        val GOOD_SETTINGS = """
            node = "n-0"
            site = "east"
            serve_on = "127.0.0.1:8080"
            peer_listen = "127.0.0.1:8081"
            [[members]]
            node = "n-1"
            site = "west"
            endpoint = "127.0.0.2:8081"
            [endpoints]
            cloud = "127.0.0.3:1"
            state = "127.0.0.3:2"
            [deployment]
            size = 2
            clock_off_ms = 500
            [[deployment.teams]]
            name = "t"
            cpus = 4.0
            cpus_max = 8.0
            gpus = 2.0
            gpus_max = 3.0
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

        private const val TEAM = "[[deployment.teams]]\nname = \"t\"\ncpus = 4.0\ncpus_max = 8.0\ngpus = 2.0\ngpus_max = 3.0\n"
        private const val MEMBER = "[[members]]\nnode = \"n-1\"\nsite = \"west\"\nendpoint = \"127.0.0.2:8081\"\n"

        val SETTINGS_CHANGES = listOf(
            "node = \"n-0\"" to "node = ",
            "node = \"n-0\"" to "",
            "node = \"n-0\"" to "node = 3",
            "node = \"n-0\"" to "node = \" \"",
            "site = \"east\"" to "",
            "site = \"east\"" to "site = \"a;b\"",
            "site = \"west\"" to "site = \"a;b\"",
            "serve_on = \"127.0.0.1:8080\"" to "",
            "serve_on = \"127.0.0.1:8080\"" to "serve_on = \"8080\"",
            "peer_listen = \"127.0.0.1:8081\"" to "peer_listen = \"127.0.0.1:0\"",
            "endpoint = \"127.0.0.2:8081\"" to "endpoint = \"x\"",
            "cloud = \"127.0.0.3:1\"" to "",
            "state = \"127.0.0.3:2\"" to "state = \"127.0.0.3:x\"",
            "node = \"n-1\"" to "node = \"n-0\"",
            MEMBER to "members = 3\n",
            MEMBER to "members = [3]\n",
            "size = 2" to "size = 3",
            "size = 2" to "size = 0",
            "size = 2" to "size = 1001",
            TEAM to "",
            TEAM to TEAM + TEAM,
            "name = \"t\"" to "",
            "cpus_max = 8.0" to "cpus_max = 2.0",
            "gpus_max = 3.0" to "gpus_max = 1.0",
            "gpus = 2.0" to "gpus = -2.0",
            "clock_off_ms = 500" to "clock_off_ms = -1",
            "clock_off_ms = 500" to "clock_off_ms = \"x\"",
            "report_s = 1.0" to "report_s = 0.0",
            "lease_s = 10.0" to "lease_s = 1.0",
            "cancel_s = 40.0" to "",
            "rps = 80.0" to "rps = \"many\"",
            "write_rps = 30.0" to "write_rps = 0",
            "value_kb = 8.0" to "value_kb = inf",
            "txn_ops = 16" to "txn_ops = 1.5",
            "txn_ops = 16" to "txn_ops = 1",
            "txn_ops = 16" to "txn_ops = 16\nnext = 3",
            "txn_ops = 16" to "txn_ops = 16\n[deployment.state.next]\nrps = 0",
            "rps = 5.0" to "rps = 0",
            "list_lag_s = 3.0" to "",
            "max_connections = 100" to "max_connections = 15",
        )

        private fun scheduler(xml: String) = "<mountmast>\n<scheduler>\n$xml</scheduler></mountmast>"
        private fun fleet(xml: String) = "<mountmast>\n<fleet>\n$xml</fleet></mountmast>"
        private fun overload(xml: String) = "<mountmast>\n<overload>\n$xml</overload></mountmast>"

        val TUNINGS = listOf(
            "",
            "<mountmast>",
            "<other/>",
            "<mountmast>\ntext</mountmast>",
            "<mountmast>\n<speed/></mountmast>",
            "<mountmast>\n<fleet/>\n<fleet/></mountmast>",
            scheduler("<speed>1</speed>"),
            scheduler("text"),
            scheduler("<smoothing>0</smoothing>"),
            scheduler("<borrowing>x</borrowing>"),
            scheduler("<overhead-weight>101</overhead-weight>"),
            scheduler("<fragment-weight>-1</fragment-weight>"),
            scheduler("<pass-ms>12.5</pass-ms>"),
            scheduler("<run-decay>NaN</run-decay>"),
            scheduler("<evictions-per-pass>1001</evictions-per-pass>"),
            scheduler("<starts-per-pass>0</starts-per-pass>"),
            scheduler("<starts-per-pass>1</starts-per-pass>\n<starts-per-pass>2</starts-per-pass>"),
            scheduler("<starts-per-pass><one/></starts-per-pass>"),
            scheduler("<guaranteed-from>low</guaranteed-from>"),
            scheduler("<guaranteed-from>high</guaranteed-from>\n<guaranteed-from>prod</guaranteed-from>"),
            scheduler("<guaranteed-from team=\"t\">high</guaranteed-from>\n<guaranteed-from team=\"t\">prod</guaranteed-from>"),
            scheduler("<guaranteed-from team=\"nobody\">high</guaranteed-from>"),
            fleet("<idle-return-s>4</idle-return-s>"),
            fleet("<no-capacity-pause-s>0</no-capacity-pause-s>"),
            fleet("<list-every-s>601</list-every-s>"),
            fleet("<types-every-s>1</types-every-s>"),
            fleet("<types-every-s>9</types-every-s>\n<types-every-s>9</types-every-s>"),
            fleet("<speed>1</speed>"),
            overload("<least-requests>0</least-requests>"),
            overload("<most-requests>1001</most-requests>"),
            overload("<most-requests>9</most-requests>\n<most-requests>9</most-requests>"),
            overload("<speed>1</speed>"),
            overload("<least-requests>9</least-requests><most-requests>3</most-requests>"),
            scheduler("<guaranteed-from team=\"t\">best_effort</guaranteed-from>"),
        )
    }
}
