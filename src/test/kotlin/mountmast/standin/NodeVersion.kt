package mountmast.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.PeerHeartbeat
import mountmast.protocol.StateLimits
import mountmast.standin.production.BrokenContract
import mountmast.standin.production.ProductionForms
import mountmast.standin.production.ProductionStore
import mountmast.storage.StateStore

@OptIn(ExperimentalSerializationApi::class)
/** The version of the controller that a node runs: the current code, or a model of the release in production. */
enum class NodeVersion {
    /** Reads and writes data in the formats of the production release, whose frozen classes are in `standin.production`. */
    PRODUCTION {
        override fun store(store: StateStore) = ProductionStore(store)

        override fun limits(limits: FallingLimits) = limits.withoutAnnounced

        override fun peerHeartbeat(peerHeartbeat: PeerHeartbeat): PeerHeartbeat =
            ProtoBuf.decodeFromByteArray(ProductionForms.passHello(ProtoBuf.encodeToByteArray(peerHeartbeat)))

        override fun forwardedRequest(request: ForwardedRequest): ForwardedRequest =
            requireUnchanged(request, ProtoBuf.decodeFromByteArray(ProductionForms.passRelayRequest(ProtoBuf.encodeToByteArray(request))))

        override fun forwardedResponse(answer: ForwardedResponse): ForwardedResponse =
            requireUnchanged(answer, ProtoBuf.decodeFromByteArray(ProductionForms.passRelayAnswer(ProtoBuf.encodeToByteArray(answer))))

        private fun <T> requireUnchanged(sent: T, read: T): T {
            if (sent != read) throw BrokenContract("the production release reads $sent as $read")
            return read
        }
    },

    CURRENT,
    ;

    /** Returns [store] as a process of this version reads and writes it. */
    open fun store(store: StateStore): StateStore = store

    /** Returns the limits of the state service that a process of this version keeps to. */
    open fun limits(limits: FallingLimits): StateLimits = limits.configured

    /** Returns [peerHeartbeat] as a process of this version sends or reads it; fields that the version lacks are dropped. */
    open fun peerHeartbeat(peerHeartbeat: PeerHeartbeat): PeerHeartbeat = peerHeartbeat

    /** Returns [request] as a process of this version sends or reads it. Throws [BrokenContract] if that changes it. */
    open fun forwardedRequest(request: ForwardedRequest): ForwardedRequest = request

    /** Returns [answer] as a process of this version sends or reads it. Throws [BrokenContract] if that changes it. */
    open fun forwardedResponse(answer: ForwardedResponse): ForwardedResponse = answer
}
