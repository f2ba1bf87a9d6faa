package mountmast

import mountmast.coordination.controller.OperatorSettings
import mountmast.protocol.InvalidSettingsException
import mountmast.protocol.Settings
import picocli.CommandLine
import picocli.CommandLine.ParseResult
import java.io.File
import java.io.IOException

/**
 * Parses a command line and executes it.
 *
 * @property runNode runs a node until the process ends; throws an [IOException] if one of the node's addresses cannot be bound
 */
internal class CommandLineTool(private val runNode: (Settings, OperatorSettings) -> Unit) {
    /** Executes the command line [args], prints its result and returns its [ExitCode]. */
    fun run(args: Array<String>): Int {
        // The platform starts a node with `--config FILE` alone, which needs no parser. The JVM's class-data archive cannot hold
        // picocli's classes, and loading them took a third of the time of a start.
        if (args.size == 2 && args[0] == CONFIG && !args[1].startsWith("-")) return serveOrCheck(args[1], null, checkOnly = false)
        val line = CommandLine(CommandLineSyntax.root())
        line.setExecutionStrategy { execute(it) }
        line.setParameterExceptionHandler { e, _ -> printUsageError("${e.message}; see --help") }
        return line.execute(*args)
    }

    private fun execute(parsed: ParseResult): Int {
        val helpExitCode = CommandLine.executeHelpRequest(parsed)
        if (helpExitCode != null) return helpExitCode
        return if (parsed.hasSubcommand()) sendRequest(parsed.subcommand()) else serveOrCheck(parsed)
    }

    private fun sendRequest(command: ParseResult): Int {
        val node = command.matchedOptionValue(CommandLineSyntax.NODE, "")
        return NodeClient().run(command.commandSpec().name(), command.matchedPositionalValue(0, ""), node)
    }

    private fun serveOrCheck(parsed: ParseResult): Int {
        val configFile = parsed.matchedOptionValue<String?>(CONFIG, null)
            ?: return printUsageError("$CONFIG FILE or a command is needed; see --help")
        val tuningFile = parsed.matchedOptionValue<String?>(CommandLineSyntax.TUNING, null)
        return serveOrCheck(configFile, tuningFile, parsed.hasMatchedOption(CommandLineSyntax.CHECK))
    }

    private fun serveOrCheck(configFile: String, tuningFile: String?, checkOnly: Boolean): Int {
        val settings: Settings
        val operatorSettings: OperatorSettings
        try {
            settings = Settings.read(File(configFile))
            operatorSettings = readOperatorSettings(tuningFile, settings)
        } catch (e: InvalidSettingsException) {
            return printUsageError(e.message.orEmpty())
        }
        if (!checkOnly) return serveUntilEnd(settings, operatorSettings)
        println("settings are valid: ${settings.node} of ${settings.nodeCount} nodes, ${settings.teams.size} teams")
        return ExitCode.DONE
    }

    private fun readOperatorSettings(tuningFile: String?, settings: Settings): OperatorSettings {
        if (tuningFile == null) return OperatorSettings()
        val operatorSettings = OperatorSettings.read(tuningFile) { File(tuningFile).inputStream() }
        val unknownTeams = operatorSettings.scheduling.guaranteedFromByTeam.keys - settings.teams.keys
        if (unknownTeams.isNotEmpty()) {
            throw InvalidSettingsException("$tuningFile: <guaranteed-from> names an unknown team ${unknownTeams.first()}")
        }
        return operatorSettings
    }

    private fun serveUntilEnd(settings: Settings, operatorSettings: OperatorSettings): Int = try {
        runNode(settings, operatorSettings)
        ExitCode.DONE
    } catch (e: IOException) {
        printFailure("cannot serve on ${settings.serveOn} and ${settings.peerListen}: ${e.message}")
    }

    private companion object {
        const val CONFIG = CommandLineSyntax.CONFIG
    }
}
