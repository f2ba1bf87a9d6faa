package mountmast

/** Exit codes of the process, as `--help` documents them. */
internal object ExitCode {
    const val DONE = 0

    /** The service cannot be reached or refuses, or this node cannot serve. */
    const val FAILED = 1

    /** The command line or the settings are wrong. */
    const val WRONG_USAGE = 2
}

/** Prints to standard error what is wrong with the command line or the settings; returns [ExitCode.WRONG_USAGE]. */
internal fun printUsageError(reason: String): Int {
    System.err.println("mountmast: $reason")
    return ExitCode.WRONG_USAGE
}

/** Prints to standard error why a command failed; returns [ExitCode.FAILED]. */
internal fun printFailure(reason: String): Int {
    System.err.println("mountmast: $reason")
    return ExitCode.FAILED
}
