package mountmast.transport

import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.NodeId
import mountmast.protocol.PeerHeartbeat

/** An answer to a user, as plain as HTTP needs it. */
data class UserAnswer(val status: Int, val body: String, val retryAfterS: Int = 0)

/** What users may ask of a node. */
interface UserService {
    fun submit(body: String, isForwarded: Boolean): UserAnswer
    fun status(id: String, isForwarded: Boolean): UserAnswer
    fun cancel(id: String, isForwarded: Boolean): UserAnswer

    /** Whether the load balancer should send users here. */
    fun ready(): Boolean
}

/** What a worker's report gets. */
sealed interface HeartbeatOutcome {
    /** This node acts for the controllers. */
    data class Accepted(val answer: HeartbeatResponse) : HeartbeatOutcome

    /** Another node does; null where none is known. */
    data class Elsewhere(val node: NodeId?) : HeartbeatOutcome
}

/** Takes workers' reports. */
fun interface HeartbeatService {
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome
}

/** Takes the greetings of other nodes and answers with this node's own. */
fun interface PeerService {
    fun onPeerHeartbeat(from: PeerHeartbeat): PeerHeartbeat
}
