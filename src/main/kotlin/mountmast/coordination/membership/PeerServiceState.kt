package mountmast.coordination.membership

/**
 * What this node knows of whether another node serves users.
 *
 * @property text the state as logged
 */
enum class PeerServiceState(val text: String) {
    SERVING("serves"),
    NOT_SERVING("cannot serve"),

    /** The other node has not responded lately: it may have ended, or may serve users and be cut off from this node alone. */
    UNKNOWN("does not respond"),
}
