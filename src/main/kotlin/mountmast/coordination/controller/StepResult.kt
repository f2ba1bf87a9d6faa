package mountmast.coordination.controller

/** What one step of a [Controller] came to; whoever repeats the step decides by it when to call again. */
enum class StepResult {
    /** The step did something, so there may be more of the same at once. */
    DID_WORK,

    /** There was nothing to do, or this node is not the one to do it. */
    IDLE,

    /** A system around the node failed or did not answer. */
    FAILED,
    ;

    internal companion object {
        /** The result of a step whose implementation does not tell a failure from having nothing to do. */
        fun of(didWork: Boolean): StepResult = if (didWork) DID_WORK else IDLE
    }
}
