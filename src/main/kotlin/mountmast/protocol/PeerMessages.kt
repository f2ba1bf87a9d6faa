package mountmast.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// Nodes of two versions exchange these messages during an upgrade, so the proto numbers are part of the contract between versions:
// only optional fields may be added, and a number must never be reused for another field. A reader ignores fields that it does not
// know, and takes the default of a field that is missing.

/**
 * Heartbeat that a controller node sends to each other node every two seconds; the answer to it has the same form.
 *
 * @property node name of the sender
 * @property token the highest fencing token that the sender has seen
 * @property serves whether the sender can serve users: it reaches the state service and knows the machine types
 * @property leads whether the sender is the leader, in the term of [token]
 * @property cancelledJobs ids of jobs whose cancellation the sender committed; each is sent until the receiver has answered a heartbeat
 *   that carried it
 * @property formatVersion version of the forms of stored records and sent messages that the sender reads; 0 from versions without this
 *   field
 */
@Serializable
data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    @ProtoNumber(2) val token: Long,
    @ProtoNumber(3) val serves: Boolean,
    @ProtoNumber(4) val leads: Boolean,
    @ProtoNumber(5) val cancelledJobs: List<String> = emptyList(),
    @ProtoNumber(6) val formatVersion: Int = 0,
)

/** A user's request that the sending node cannot serve and forwards to another node. */
@Serializable
data class ForwardedRequest(@ProtoNumber(1) val method: String, @ProtoNumber(2) val path: String, @ProtoNumber(3) val body: String)

/** Answer to a forwarded request: what the user is to receive. [retryAfterS] is in seconds, 0 if the answer names no time. */
@Serializable
data class ForwardedResponse(@ProtoNumber(1) val status: Int, @ProtoNumber(2) val body: String, @ProtoNumber(3) val retryAfterS: Int = 0)
