package mountmast.transport

/** Names of the routes between controller nodes; they are the contract between versions. */
object PeerPaths {
    const val HEARTBEAT = "/peer/hello"
    const val FORWARD = "/peer/relay"
}
