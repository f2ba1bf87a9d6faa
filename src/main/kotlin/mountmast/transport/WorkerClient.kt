package mountmast.transport

import kotlinx.serialization.encodeToString
import mountmast.protocol.CommandRequest
import mountmast.protocol.Heartbeat
import mountmast.protocol.WireJson
import mountmast.protocol.decodeJson
import java.net.InetSocketAddress

/** The outcome of a request with commands to a worker. */
sealed interface CommandOutcome {
    /** The worker executed the commands and answered with [heartbeat]. */
    data class Executed(val heartbeat: Heartbeat) : CommandOutcome

    /** The worker executed no command, as it has seen a higher fencing token or is of another incarnation; it answered with [heartbeat]. */
    data class Rejected(val heartbeat: Heartbeat) : CommandOutcome

    /** The request never left this node. */
    data object NotSent : CommandOutcome

    /** The worker sent no answer or an unexpected one: it may have executed the commands, may execute them later, or may never do so. */
    data object Unknown : CommandOutcome
}

/** Sends commands directly to workers. Thread-safe. */
fun interface WorkerClient {
    /** Sends [message] to the worker at [address] (`HOST:PORT`) and returns the outcome; does not throw if the call fails. */
    fun send(address: String, message: CommandRequest): CommandOutcome
}

/** Sends commands to workers over HTTP. */
class HttpWorkerClient(private val caller: HttpCaller = HttpCaller(connectMs = 700)) : WorkerClient {
    override fun send(address: String, message: CommandRequest): CommandOutcome {
        val to = parseAddress(address) ?: return CommandOutcome.NotSent
        try {
            val reply = caller.call(to, "POST", "/orders", WireJson.encodeToString(message).encodeToByteArray(), TIMEOUT_MS)
            return when (reply.status) {
                200 -> CommandOutcome.Executed(decodeJson<Heartbeat>(reply.text))
                409 -> CommandOutcome.Rejected(decodeJson<Heartbeat>(reply.text))
                else -> CommandOutcome.Unknown
            }
        } catch (e: NoAnswerException) {
            return if (e.mayHaveTakenEffect) CommandOutcome.Unknown else CommandOutcome.NotSent
        } catch (e: IllegalArgumentException) {
            return CommandOutcome.Unknown
        }
    }

    private fun parseAddress(address: String): InetSocketAddress? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull()
        return if (colon <= 0 || port == null || port !in 1..65535) null else InetSocketAddress(address.substring(0, colon), port)
    }

    private companion object {
        const val TIMEOUT_MS = 1500
    }
}
