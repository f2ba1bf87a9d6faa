package mountmast.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// The proto numbers of all messages here are the contract between versions, as nodes of two versions talk to each other
// during an upgrade: fields are only added, optional, and no number is ever used again for something else.

/**
 * What controller nodes tell one another every two seconds.
 *
 * @property token the highest fencing token that the sender has seen
 * @property serves whether the sender reaches the state service and knows the machine types, so that it can serve users
 * @property leads whether the sender is the leader, in the term of [token]
 * @property cancelled jobs whose cancellation the sender committed, until the receiver has answered a heartbeat that names them
 * @property formatVersion version of the stored and sent forms that the sender reads; 0 from nodes that know of no versions
 */
@Serializable
data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    @ProtoNumber(2) val token: Long,
    @ProtoNumber(3) val serves: Boolean,
    @ProtoNumber(4) val leads: Boolean,
    @ProtoNumber(5) val cancelled: List<String> = emptyList(),
    @ProtoNumber(6) val formatVersion: Int = 0,
)

/** A user's request that the sender cannot serve itself. */
@Serializable
data class ForwardedRequest(@ProtoNumber(1) val method: String, @ProtoNumber(2) val path: String, @ProtoNumber(3) val body: String)

/** The answer to a forwarded request. */
@Serializable
data class ForwardedResponse(@ProtoNumber(1) val status: Int, @ProtoNumber(2) val body: String, @ProtoNumber(3) val retryAfterS: Int = 0)
