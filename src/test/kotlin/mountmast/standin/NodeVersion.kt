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
/** The version of the program that a node runs: the current code, or a model of the one in production. */
enum class NodeVersion {
    /** Reads and writes by the forms of production, whose frozen classes are in `standin.production`. */
    PRODUCTION {
        override fun store(store: StateStore) = ProductionStore(store)

        override fun limits(limits: FallingLimits) = limits.present

        override fun peerHeartbeat(peerHeartbeat: PeerHeartbeat): PeerHeartbeat =
            ProtoBuf.decodeFromByteArray(ProductionForms.passHello(ProtoBuf.encodeToByteArray(peerHeartbeat)))

        override fun forwardedRequest(request: ForwardedRequest): ForwardedRequest =
            whole(request, ProtoBuf.decodeFromByteArray(ProductionForms.passRelayRequest(ProtoBuf.encodeToByteArray(request))))

        override fun forwardedResponse(answer: ForwardedResponse): ForwardedResponse =
            whole(answer, ProtoBuf.decodeFromByteArray(ProductionForms.passRelayAnswer(ProtoBuf.encodeToByteArray(answer))))

        private fun <T> whole(sent: T, read: T): T {
            if (sent != read) throw BrokenContract("production reads $read of $sent")
            return read
        }
    },

    CURRENT,
    ;

    /** [store] as a process of this version reads and writes it. */
    open fun store(store: StateStore): StateStore = store

    /** What a process of this version keeps to. */
    open fun limits(limits: FallingLimits): StateLimits = limits.known

    /** [peerHeartbeat] as a process of this version sends or reads it. */
    open fun peerHeartbeat(peerHeartbeat: PeerHeartbeat): PeerHeartbeat = peerHeartbeat

    /** [request] as a process of this version sends or reads it; it loses nothing of it. */
    open fun forwardedRequest(request: ForwardedRequest): ForwardedRequest = request

    /** [answer] as a process of this version sends or reads it; it loses nothing of it. */
    open fun forwardedResponse(answer: ForwardedResponse): ForwardedResponse = answer
}
