package mountmast.coordination.state

/** A machine's condition as far as the leader knows it. */
enum class MachineState {
    /** The machine is rented, and none of its heartbeats has arrived yet. */
    BOOTING,

    /** Heartbeats of the machine's worker arrive. */
    UP,

    /** The machine is named in the store, but no heartbeat of its worker has arrived since this leader was elected. */
    SILENT,

    /** The lease of the machine's worker has certainly expired, and no heartbeat has arrived since. */
    EXPIRED,
}
