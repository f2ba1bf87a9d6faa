package mountmast.transport

import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat

/**
 * The answer to a user's request.
 *
 * @property status HTTP status
 * @property body JSON
 * @property retryAfterS value of the `Retry-After` header in seconds; 0 omits the header
 */
data class UserAnswer(val status: Int, val body: String, val retryAfterS: Int = 0)

/** Serves users' requests. A request that another node has forwarded (`isForwarded`) is not forwarded again. */
interface UserService {
    /** Submits the job in [body]; idempotent by the job's id. */
    fun submit(body: String, isForwarded: Boolean): UserAnswer

    /** Returns the status of the job [id]. */
    fun status(id: String, isForwarded: Boolean): UserAnswer

    /** Cancels the job [id]; a successful answer is returned only after the cancellation is committed. */
    fun cancel(id: String, isForwarded: Boolean): UserAnswer

    /** Whether the load balancer should send users' requests to this node. */
    fun isReady(): Boolean
}

/** What a node answers to a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** This node renews the worker's lease and sends [answer]. */
    data class Accepted(val answer: HeartbeatResponse) : HeartbeatOutcome

    /** This node does not renew the worker's lease: the worker should send its heartbeat to [node], or to any other node if null. */
    data class Redirected(val node: NodeId?) : HeartbeatOutcome
}

/** Receives workers' heartbeats. */
fun interface HeartbeatService {
    /** Handles [heartbeat] and returns the outcome to send to the worker. */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome
}

/** Receives the heartbeats of other controller nodes. */
fun interface PeerService {
    /** Handles the heartbeat [from] another node and returns this node's own heartbeat. */
    fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat
}
