package mountmast.transport

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.CommandRequest
import mountmast.protocol.Heartbeat
import mountmast.protocol.WireJson
import java.net.InetSocketAddress

/** The outcome of commands that were sent to a worker. */
sealed interface CommandOutcome {
    /** They were executed; [heartbeat] is the worker's answer. */
    data class Executed(val heartbeat: Heartbeat) : CommandOutcome

    /** None was executed: the worker has seen a higher token, or is of another incarnation. */
    data class Rejected(val heartbeat: Heartbeat) : CommandOutcome

    /** The request never left this node. */
    data object NotSent : CommandOutcome

    /** They may have been executed, may be executed later, or never. */
    data object Unknown : CommandOutcome
}

/** Sends commands directly to workers. Thread-safe. */
fun interface WorkerClient {
    /** Sends [message] to the worker at [address], which is `HOST:PORT`. */
    fun send(address: String, message: CommandRequest): CommandOutcome
}

/** Sends commands to workers over HTTP. */
class HttpWorkerClient(private val caller: HttpCaller = HttpCaller(connectMs = 700)) : WorkerClient {
    override fun send(address: String, message: CommandRequest): CommandOutcome {
        val to = parse(address) ?: return CommandOutcome.NotSent
        try {
            val reply = caller.call(to, "POST", "/orders", WireJson.encodeToString(message).encodeToByteArray(), WAIT_MS)
            return when (reply.status) {
                200 -> CommandOutcome.Executed(WireJson.decodeFromString<Heartbeat>(reply.text))
                409 -> CommandOutcome.Rejected(WireJson.decodeFromString<Heartbeat>(reply.text))
                else -> CommandOutcome.Unknown
            }
        } catch (e: NoAnswerException) {
            return if (e.mayBeCarriedOut) CommandOutcome.Unknown else CommandOutcome.NotSent
        } catch (e: IllegalArgumentException) {
            return CommandOutcome.Unknown
        }
    }

    private fun parse(address: String): InetSocketAddress? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull()
        return if (colon <= 0 || port == null || port !in 1..65535) null else InetSocketAddress(address.substring(0, colon), port)
    }

    private companion object {
        const val WAIT_MS = 1500
    }
}
