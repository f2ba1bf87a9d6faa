package mountmast.coordination.state

/** What the leader knows of a machine's condition. */
enum class MachineState {
    /** Rented; no heartbeat has arrived yet. */
    BOOTING,

    /** Its worker sends heartbeats. */
    UP,

    /** Named in the store, but no heartbeat has arrived since this node leads. */
    SILENT,

    /** Its worker's lease has provably expired and no heartbeat has arrived since. */
    EXPIRED,
}
