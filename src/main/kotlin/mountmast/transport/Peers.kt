package mountmast.transport

import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.Member
import mountmast.protocol.PeerHello
import mountmast.protocol.RelayAnswer
import mountmast.protocol.RelayRequest
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("mountmast.peers")

/** The other controller nodes. Calls return null where no sensible answer came. */
interface Peers {
    fun hello(to: Member, hello: PeerHello): PeerHello?
    fun relay(to: Member, request: RelayRequest): RelayAnswer?
}

/** Peers over HTTP, in protobuf. */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
class HttpPeers(private val caller: HttpCaller = HttpCaller(connectMs = 500)) : Peers {
    override fun hello(to: Member, hello: PeerHello): PeerHello? =
        call(to, PeerPaths.HELLO, ProtoBuf.encodeToByteArray(hello), HELLO_MS) { ProtoBuf.decodeFromByteArray<PeerHello>(it) }

    override fun relay(to: Member, request: RelayRequest): RelayAnswer? =
        call(to, PeerPaths.RELAY, ProtoBuf.encodeToByteArray(request), RELAY_MS) { ProtoBuf.decodeFromByteArray<RelayAnswer>(it) }

    private fun <T> call(to: Member, path: String, body: ByteArray, waitMs: Int, decode: (ByteArray) -> T): T? = try {
        caller.call(to.endpoint, "POST", path, body, waitMs, "application/x-protobuf").takeIf { it.ok }?.let { decode(it.bytes) }
    } catch (e: NoAnswerException) {
        null
    } catch (e: SerializationException) {
        log.warn("malformed answer of {}: {}", to.node, e.message)
        null
    }

    private companion object {
        const val HELLO_MS = 800
        const val RELAY_MS = 1500
    }
}
