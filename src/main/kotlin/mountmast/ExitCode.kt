package mountmast

/** What the process tells whoever started it; documented in `--help`. */
internal object ExitCode {
    const val DONE = 0

    /** The service cannot be reached or refuses, or this node cannot serve. */
    const val FAILED = 1

    /** The command line or the settings are wrong. */
    const val WRONG_USAGE = 2
}

/** Prints what is wrong with the command line or the settings; returns the exit code for it. */
internal fun printUsageError(reason: String): Int {
    System.err.println("mountmast: $reason")
    return ExitCode.WRONG_USAGE
}

/** Prints why a command failed; returns the exit code for it. */
internal fun printFailure(reason: String): Int {
    System.err.println("mountmast: $reason")
    return ExitCode.FAILED
}
