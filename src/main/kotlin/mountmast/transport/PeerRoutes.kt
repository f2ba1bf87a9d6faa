package mountmast.transport

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.PeerHello
import mountmast.protocol.RelayAnswer
import mountmast.protocol.RelayRequest
import org.http4k.core.HttpHandler

/** Everything served to the other controller nodes. */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
fun peerRoutes(users: UserService, peers: PeerService): HttpHandler = guarded { request ->
    when (request.uri.path) {
        PeerPaths.HELLO -> {
            val hello = ProtoBuf.decodeFromByteArray<PeerHello>(request.bytes())
            protobuf(ProtoBuf.encodeToByteArray(peers.hello(hello)))
        }
        PeerPaths.RELAY -> {
            val relayed = ProtoBuf.decodeFromByteArray<RelayRequest>(request.bytes())
            val id = relayed.path.removePrefix("$JOBS_PATH/")
            val answer = when {
                relayed.path == JOBS_PATH -> users.submit(relayed.body, relayed = true)
                relayed.method == "POST" -> users.cancel(id.removeSuffix(CANCEL_SUFFIX), relayed = true)
                else -> users.status(id, relayed = true)
            }
            protobuf(ProtoBuf.encodeToByteArray(RelayAnswer(answer.status, answer.body, answer.retryAfterS)))
        }
        else -> json(404, refusal("no such path"))
    }
}
