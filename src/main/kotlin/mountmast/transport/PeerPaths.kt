package mountmast.transport

/** Paths of the requests between controller nodes. They never change, as nodes of different versions call each other. */
object PeerPaths {
    const val HEARTBEAT = "/peer/hello"
    const val FORWARD = "/peer/relay"
}
