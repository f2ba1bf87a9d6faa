package mountmast.transport

/** Names of the routes between controller nodes; they are the contract between versions. */
object PeerPaths {
    const val HELLO = "/peer/hello"
    const val RELAY = "/peer/relay"
}
