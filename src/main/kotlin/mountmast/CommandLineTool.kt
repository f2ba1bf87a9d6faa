package mountmast

import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.Settings
import picocli.CommandLine
import picocli.CommandLine.ParseResult
import java.io.File
import java.io.IOException

/** Runs what a command line asks for; [serve] runs a node until its process ends. */
internal class CommandLineTool(private val serve: (Settings, OperatorSettings) -> Unit) {
    /** Runs one command and prints its result; returns its [ExitCode]. */
    fun run(args: Array<String>): Int {
        // The platform's own call needs no parser. picocli's classes are of a form that the class-data archive does not
        // take, and reading them made up a third of a start.
        if (args.size == 2 && args[0] == CONFIG && !args[1].startsWith("-")) return serveOrCheck(args[1], null, checkOnly = false)
        val line = CommandLine(CommandLineSyntax.root())
        line.setExecutionStrategy { execute(it) }
        line.setParameterExceptionHandler { e, _ -> printUsageError("${e.message}; see --help") }
        return line.execute(*args)
    }

    private fun execute(parsed: ParseResult): Int {
        val helped = CommandLine.executeHelpRequest(parsed)
        if (helped != null) return helped
        return if (parsed.hasSubcommand()) sendRequest(parsed.subcommand()) else serveOrCheck(parsed)
    }

    private fun sendRequest(command: ParseResult): Int {
        val node = command.matchedOptionValue(CommandLineSyntax.NODE, "")
        return NodeClient().run(command.commandSpec().name(), command.matchedPositionalValue(0, ""), node)
    }

    private fun serveOrCheck(parsed: ParseResult): Int {
        val config = parsed.matchedOptionValue<String?>(CONFIG, null)
            ?: return printUsageError("$CONFIG FILE or a command is needed; see --help")
        val tuning = parsed.matchedOptionValue<String?>(CommandLineSyntax.TUNING, null)
        return serveOrCheck(config, tuning, parsed.hasMatchedOption(CommandLineSyntax.CHECK))
    }

    private fun serveOrCheck(config: String, tuning: String?, checkOnly: Boolean): Int {
        val settings: Settings
        val operators: OperatorSettings
        try {
            settings = Settings.read(File(config))
            operators = readOperatorSettings(tuning, settings)
        } catch (e: InvalidSettingsException) {
            return printUsageError(e.message.orEmpty())
        }
        if (!checkOnly) return serveUntilEnd(settings, operators)
        println("settings are valid: ${settings.node} of ${settings.nodes} nodes, ${settings.teams.size} teams")
        return ExitCode.DONE
    }

    private fun readOperatorSettings(tuning: String?, settings: Settings): OperatorSettings {
        if (tuning == null) return OperatorSettings()
        val operators = OperatorSettings.read(tuning) { File(tuning).inputStream() }
        val unknown = operators.scheduling.guaranteedFromByTeam.keys - settings.teams.keys
        if (unknown.isNotEmpty()) throw InvalidSettingsException("$tuning: <guaranteed-from> names an unknown team ${unknown.first()}")
        return operators
    }

    private fun serveUntilEnd(settings: Settings, operators: OperatorSettings): Int = try {
        serve(settings, operators)
        ExitCode.DONE
    } catch (e: IOException) {
        printFailure("cannot serve on ${settings.serveOn} and ${settings.peerListen}: ${e.message}")
    }

    private companion object {
        const val CONFIG = CommandLineSyntax.CONFIG
    }
}
