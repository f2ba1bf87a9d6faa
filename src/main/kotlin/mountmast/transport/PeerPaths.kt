package mountmast.transport

/** Paths of the routes between controller nodes. They are part of the contract between versions. */
object PeerPaths {
    const val HEARTBEAT = "/peer/hello"
    const val FORWARD = "/peer/relay"
}
