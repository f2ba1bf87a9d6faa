package mountmast.coordination.controller

/** The result of one step of a [Controller], by which the caller decides when to run the step again. */
enum class StepResult {
    /** The step did some work, and there may be more to do at once. */
    DID_WORK,

    /** There was nothing to do, or nothing that this node may do. */
    IDLE,

    /** An external system failed or did not answer. */
    FAILED,
    ;

    internal companion object {
        /** Returns [DID_WORK] or [IDLE], for a step that does not distinguish a failure from having nothing to do. */
        fun didWorkIf(didWork: Boolean): StepResult = if (didWork) DID_WORK else IDLE
    }
}
