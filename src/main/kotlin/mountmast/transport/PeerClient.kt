package mountmast.transport

import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.Member
import mountmast.protocol.PeerHeartbeat
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.peers")

/** Calls other controller nodes. Each call returns null if the other node sent no well-formed answer with status 200. Thread-safe. */
interface PeerClient {
    /** Sends [heartbeat] and returns the heartbeat of the other node. */
    fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat?

    /** Forwards a user's request to the other node and returns its response. */
    fun forward(to: Member, request: ForwardedRequest): ForwardedResponse?
}

/** Calls other controller nodes over HTTP, with bodies in protobuf. */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
class HttpPeerClient(private val caller: HttpCaller = HttpCaller(connectMs = 500)) : PeerClient {
    override fun exchangeHeartbeats(to: Member, heartbeat: PeerHeartbeat): PeerHeartbeat? =
        call(to, PeerPaths.HEARTBEAT, ProtoBuf.encodeToByteArray(heartbeat), HEARTBEAT_TIMEOUT_MS) { answer ->
            ProtoBuf.decodeFromByteArray<PeerHeartbeat>(answer)
        }

    override fun forward(to: Member, request: ForwardedRequest): ForwardedResponse? =
        call(to, PeerPaths.FORWARD, ProtoBuf.encodeToByteArray(request), FORWARD_TIMEOUT_MS) { answer ->
            ProtoBuf.decodeFromByteArray<ForwardedResponse>(answer)
        }

    private fun <T> call(to: Member, path: String, body: ByteArray, timeoutMs: Int, decode: (ByteArray) -> T): T? = try {
        caller.call(to.endpoint, "POST", path, body, timeoutMs, "application/x-protobuf").takeIf { it.isOk }?.let { decode(it.bytes) }
    } catch (e: NoAnswerException) {
        null
    } catch (e: SerializationException) {
        log.warn("malformed answer of node {}: {}", to.node, e.message)
        null
    }

    private companion object {
        const val HEARTBEAT_TIMEOUT_MS = 800
        const val FORWARD_TIMEOUT_MS = 1500
    }
}
