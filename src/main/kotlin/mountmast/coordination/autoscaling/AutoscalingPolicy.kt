package mountmast.coordination.autoscaling

/** How machines are rented and returned; operators may set each of these. */
data class AutoscalingPolicy(
    val idleReturnMs: Long = 60_000,
    val noCapacityPauseMs: Long = 10_000,
    val listEveryMs: Long = 5_000,
    val typesEveryMs: Long = 60_000,
)
