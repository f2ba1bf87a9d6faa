package mountmast.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

// The proto numbers of all messages here are the contract between versions, as nodes of two versions talk to each other
// during an upgrade: fields are only added, optional, and no number is ever used again for something else.

/** What controller nodes tell one another about once a second. */
@Serializable
data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    /** Highest term this node has seen. */
    @ProtoNumber(2) val token: Long,
    /** Whether this node reaches the state service and knows the machine types. */
    @ProtoNumber(3) val serves: Boolean,
    /** Whether this node leads in [token]. */
    @ProtoNumber(4) val leads: Boolean,
    /** Jobs whose cancellation the sender committed, as long as the receiver has not answered a greeting with them. */
    @ProtoNumber(5) val cancelled: List<String> = emptyList(),
    /** Version of the stored and sent forms that this node reads; 0 from nodes that know of no versions. */
    @ProtoNumber(6) val formatVersion: Int = 0,
)

/** A user's request that the sender cannot serve itself. */
@Serializable
data class ForwardedRequest(@ProtoNumber(1) val method: String, @ProtoNumber(2) val path: String, @ProtoNumber(3) val body: String)

/** The answer to a relayed request. */
@Serializable
data class ForwardedResponse(@ProtoNumber(1) val status: Int, @ProtoNumber(2) val body: String, @ProtoNumber(3) val retryAfterS: Int = 0)
