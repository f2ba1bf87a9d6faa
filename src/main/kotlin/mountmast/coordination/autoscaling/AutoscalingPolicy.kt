package mountmast.coordination.autoscaling

/** When machines are scaled in and how often the cloud is asked; operators may set each value. All times are in milliseconds. */
data class AutoscalingPolicy(
    /** How long a machine stays idle before it is scaled in; longer for types that boot slowly, see [ScaleInRules]. */
    val idleTimeoutMs: Long = 60_000,
    /** How long an offering is not requested again after the cloud had no capacity for it. */
    val noCapacityBackoffMs: Long = 10_000,
    /** How often the machines are listed; more rarely if the list is long. */
    val listIntervalMs: Long = 5_000,
    /** How often the machine types, with their prices, are read. */
    val typesIntervalMs: Long = 60_000,
)
