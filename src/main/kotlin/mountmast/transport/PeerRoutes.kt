package mountmast.transport

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import mountmast.protocol.ForwardedRequest
import mountmast.protocol.ForwardedResponse
import mountmast.protocol.PeerHeartbeat
import org.http4k.core.HttpHandler

/** Returns the handler of all requests of other controller nodes. */
@OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
fun peerRoutes(users: UserService, peers: PeerService): HttpHandler = answerExceptions { request ->
    when (request.uri.path) {
        PeerPaths.HEARTBEAT -> {
            val peerHeartbeat = ProtoBuf.decodeFromByteArray<PeerHeartbeat>(request.readPeerBody())
            protobuf(ProtoBuf.encodeToByteArray(peers.onPeerHeartbeat(peerHeartbeat)))
        }
        PeerPaths.FORWARD -> {
            val forwarded = ProtoBuf.decodeFromByteArray<ForwardedRequest>(request.readPeerBody())
            val id = forwarded.path.removePrefix("$JOBS_PATH/")
            val answer = when {
                forwarded.path == JOBS_PATH -> users.submit(forwarded.body, isForwarded = true)
                forwarded.method == "POST" -> users.cancel(id.removeSuffix(CANCEL_SUFFIX), isForwarded = true)
                else -> users.status(id, isForwarded = true)
            }
            protobuf(ProtoBuf.encodeToByteArray(ForwardedResponse(answer.status, answer.body, answer.retryAfterS)))
        }
        else -> json(404, errorBody("no such path"))
    }
}
