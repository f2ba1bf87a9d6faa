package mountmast.soak

/** A protocol violation by a stand-in, injected to verify that the soak test detects it. */
enum class Breakage {
    NONE,

    /** Workers keep running their tasks after their lease has expired. */
    LEASES_NEVER_END,

    /** Workers ignore stop commands. */
    STOPS_IGNORED,

    /** The state service confirms the write of some new jobs, but does not store them. */
    SUBMISSIONS_LOST,

    /** Workers report tasks as done that have only just started to run. */
    DONE_TOO_EARLY,
}
