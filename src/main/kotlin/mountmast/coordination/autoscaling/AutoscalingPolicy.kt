package mountmast.coordination.autoscaling

/** When machines are scaled in and how often the cloud is called. Operators may set each value. All times are in milliseconds. */
data class AutoscalingPolicy(
    /**
     * For how long a machine is idle before it is scaled in; longer for types that boot slowly and shorter for on-demand machines, see
     * [ScaleInRules].
     */
    val idleTimeoutMs: Long = 60_000,
    /** For how long an offering is not requested again after the cloud had no capacity for it. */
    val noCapacityBackoffMs: Long = 10_000,
    /** The time between two reads of the cloud's list of machines; longer if the list is long, see [MachineInventory]. */
    val listIntervalMs: Long = 5_000,
    /** The time between two reads of the machine types and their prices. */
    val typesIntervalMs: Long = 60_000,
)
