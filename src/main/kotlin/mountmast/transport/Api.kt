package mountmast.transport

import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat

/**
 * An answer to a user.
 *
 * @property status HTTP status
 * @property body JSON
 * @property retryAfterS seconds after which the user should try again; 0 if the answer names none
 */
data class UserAnswer(val status: Int, val body: String, val retryAfterS: Int = 0)

/** The requests of users that a node serves. Those that another node has forwarded are not forwarded again. */
interface UserService {
    /** Submits the job in [body]; idempotent by the job's id. */
    fun submit(body: String, isForwarded: Boolean): UserAnswer

    /** Returns the state of the job [id]. */
    fun status(id: String, isForwarded: Boolean): UserAnswer

    /** Cancels the job [id]; the answer follows the commit. */
    fun cancel(id: String, isForwarded: Boolean): UserAnswer

    /** Whether the load balancer should send users here. */
    fun isReady(): Boolean
}

/** How a node answers a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** This node renews the worker's lease. */
    data class Accepted(val answer: HeartbeatResponse) : HeartbeatOutcome

    /** The worker should turn to [node], or to any other node if that is null. */
    data class Elsewhere(val node: NodeId?) : HeartbeatOutcome
}

/** Receives workers' heartbeats. */
fun interface HeartbeatService {
    /** Handles [heartbeat] and returns what to answer. */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome
}

/** Receives the heartbeats of other controller nodes. */
fun interface PeerService {
    /** Handles the heartbeat [from] another node and returns this node's own. */
    fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat
}
