package mountmast

import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.Settings
import mountmast.transport.HttpCaller
import mountmast.transport.NoAnswerException
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec
import picocli.CommandLine.ParseResult
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/**
 * The command line. It is declared without annotations: reading those by reflection costs a start on a small machine
 * most of a second.
 */
internal class CommandLineTool(private val serve: (Settings, OperatorSettings) -> Unit) {
    /** Runs one command; returns its exit code. */
    fun run(args: Array<String>): Int {
        // The platform's own call needs no parser. picocli's classes are of a form that the class-data archive does not
        // take, and reading them made up a third of a start.
        if (args.size == 2 && args[0] == CONFIG && !args[1].startsWith("-")) return serveOrCheck(args[1], null, checkOnly = false)
        val line = CommandLine(root())
        line.setExecutionStrategy { execute(it) }
        line.setParameterExceptionHandler { e, _ -> usage("${e.message}; see --help") }
        return line.execute(*args)
    }

    private fun root(): CommandSpec = CommandSpec.create().name("mountmast").version("mountmast ${version()}")
        .mixinStandardHelpOptions(true).apply {
            usageMessage().description(
                "Schedules jobs on rented machines. With --config it serves as one controller node; the commands talk to a running one.",
            ).footer("", "Exit codes: 0 done, 1 the service cannot be reached or refuses, 2 wrong usage or settings.")
            addOption(option(CONFIG, "FILE", "the platform's settings (TOML); serves until it is stopped"))
            addOption(option("--tuning", "FILE", "operators' settings (XML), see deploy/mountmast.example.xml"))
            addOption(
                OptionSpec.builder("--check").type(Boolean::class.java).arity("0").description("checks the settings and ends").build(),
            )
            addSubcommand("submit", client("Submits the job in a JSON file; - reads standard input.", "FILE"))
            addSubcommand("status", client("Tells the state of a job.", "JOB"))
            addSubcommand("cancel", client("Cancels a job.", "JOB"))
        }

    private fun option(name: String, label: String, description: String) =
        OptionSpec.builder(name).paramLabel(label).type(String::class.java).description(description).build()

    private fun client(description: String, parameter: String) = CommandSpec.create().mixinStandardHelpOptions(true).apply {
        usageMessage().description(description)
        addOption(
            OptionSpec.builder("--node").paramLabel("HOST:PORT").type(String::class.java).required(true)
                .description("a controller node's address for users").build(),
        )
        addPositional(PositionalParamSpec.builder().paramLabel(parameter).type(String::class.java).arity("1").build())
    }

    private fun execute(parsed: ParseResult): Int {
        val helped = CommandLine.executeHelpRequest(parsed)
        if (helped != null) return helped
        return if (parsed.hasSubcommand()) ask(parsed.subcommand()) else serveOrCheck(parsed)
    }

    private fun serveOrCheck(parsed: ParseResult): Int {
        val config = parsed.matchedOptionValue<String?>(CONFIG, null) ?: return usage("$CONFIG FILE or a command is needed; see --help")
        return serveOrCheck(config, parsed.matchedOptionValue<String?>("--tuning", null), parsed.hasMatchedOption("--check"))
    }

    private fun serveOrCheck(config: String, tuning: String?, checkOnly: Boolean): Int {
        val settings: Settings
        val operators: OperatorSettings
        try {
            settings = Settings.read(File(config))
            operators = if (tuning == null) OperatorSettings() else OperatorSettings.read(tuning) { File(tuning).inputStream() }
            val unknown = operators.scheduling.guaranteedFromOf.keys - settings.teams.keys
            if (unknown.isNotEmpty()) throw InvalidSettingsException("$tuning: <guaranteed-from> names an unknown team ${unknown.first()}")
        } catch (e: InvalidSettingsException) {
            return usage(e.message.orEmpty())
        }
        if (checkOnly) {
            println("settings are valid: ${settings.node} of ${settings.nodes} nodes, ${settings.teams.size} teams")
            return DONE
        }
        return try {
            serve(settings, operators)
            DONE
        } catch (e: IOException) {
            fail("cannot serve on ${settings.serveOn} and ${settings.peerListen}: ${e.message}")
        }
    }

    private fun ask(command: ParseResult): Int {
        val argument = command.matchedPositionalValue(0, "")
        val node = command.matchedOptionValue("--node", "")
        val colon = node.lastIndexOf(':')
        val port = node.substring(colon + 1).toIntOrNull()
        if (colon <= 0 || port == null || port !in 1..65535) return usage("--node: not HOST:PORT")
        val at = InetSocketAddress(node.substring(0, colon), port)
        return when (command.commandSpec().name()) {
            "submit" -> {
                val body = try {
                    if (argument == "-") System.`in`.readBytes() else File(argument).readBytes()
                } catch (e: IOException) {
                    return usage("cannot read $argument: ${e.message}")
                }
                call(at, "POST", "/v1/jobs", body)
            }
            "status" -> call(at, "GET", "/v1/jobs/$argument", null)
            else -> call(at, "POST", "/v1/jobs/$argument/cancel", ByteArray(0))
        }
    }

    private fun call(at: InetSocketAddress, method: String, path: String, body: ByteArray?): Int {
        val reply = try {
            HttpCaller().call(at, method, path, body, WAIT_MS)
        } catch (e: NoAnswerException) {
            return fail("no answer from $at: ${e.message}; check the address or try another node")
        }
        if (reply.status in 200..201) {
            println(reply.text)
            return DONE
        }
        val next = if (reply.status == 429 ||
            reply.status >= 500
        ) {
            "try again in a second, or another node"
        } else {
            "this will not change by trying again"
        }
        return fail("$at refused with ${reply.status}: ${reply.text}; $next")
    }

    private fun usage(why: String): Int {
        System.err.println("mountmast: $why")
        return WRONG_USAGE
    }

    private fun fail(why: String): Int {
        System.err.println("mountmast: $why")
        return FAILED
    }

    private fun version() = CommandLineTool::class.java.`package`.implementationVersion ?: "(unbuilt)"

    private companion object {
        const val CONFIG = "--config"
        const val DONE = 0
        const val FAILED = 1
        const val WRONG_USAGE = 2
        const val WAIT_MS = 5000
    }
}
