package mountmast.coordination.controller

/**
 * Whether the load balancer should send users to a node, and why.
 *
 * @property isReady whether `/ready` answers 200
 * @property reason the reason as logged
 */
internal enum class Readiness(val isReady: Boolean, val reason: String) {
    SERVING(true, "this node serves users"),
    FALLING_BEHIND(false, "this node leads and falls behind, while all other nodes serve users"),
    NO_NODE_SERVES(true, "this node cannot serve users, and every other node says the same of itself"),
    UNDECIDED(true, "this node has just started, or has just become unable to serve users"),
    PEER_SERVES(false, "this node cannot serve users, and another node does"),
    PEER_UNKNOWN(false, "this node cannot serve users, and another node that does not respond may"),
}
