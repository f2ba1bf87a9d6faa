package mountmast

import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec

/**
 * The options and commands of the command line. They are declared without picocli's annotations: reading annotations by reflection
 * takes most of a second of each start on a small machine.
 */
internal object CommandLineSyntax {
    const val CONFIG = "--config"
    const val TUNING = "--tuning"
    const val CHECK = "--check"
    const val NODE = "--node"

    /** Returns the specification of all options and commands. */
    fun root(): CommandSpec = CommandSpec.create().name("mountmast").version("mountmast ${version()}")
        .mixinStandardHelpOptions(true).apply {
            usageMessage().description(
                "Schedules jobs on rented machines. With --config it serves as one controller node; the commands talk to a running one.",
            ).footer("", "Exit codes: 0 done, 1 the service cannot be reached or refuses, 2 wrong usage or settings.")
            addOption(optionSpec(CONFIG, "FILE", "the platform's settings (TOML); serves until it is stopped"))
            addOption(optionSpec(TUNING, "FILE", "operators' settings (XML), see deploy/mountmast.example.xml"))
            addOption(
                OptionSpec.builder(CHECK).type(Boolean::class.java).arity("0").description("checks the settings and ends").build(),
            )
            addSubcommand("submit", clientSpec("Submits the job in a JSON file; - reads standard input.", "FILE"))
            addSubcommand("status", clientSpec("Tells the state of a job.", "JOB"))
            addSubcommand("cancel", clientSpec("Cancels a job.", "JOB"))
        }

    private fun optionSpec(name: String, label: String, description: String) =
        OptionSpec.builder(name).paramLabel(label).type(String::class.java).description(description).build()

    private fun clientSpec(description: String, parameter: String) = CommandSpec.create().mixinStandardHelpOptions(true).apply {
        usageMessage().description(description)
        addOption(
            OptionSpec.builder(NODE).paramLabel("HOST:PORT").type(String::class.java).required(true)
                .description("a controller node's address for users").build(),
        )
        addPositional(PositionalParamSpec.builder().paramLabel(parameter).type(String::class.java).arity("1").build())
    }

    private fun version() = CommandLineSyntax::class.java.`package`.implementationVersion ?: "(unbuilt)"
}
