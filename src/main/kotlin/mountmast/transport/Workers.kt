package mountmast.transport

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.Heartbeat
import mountmast.protocol.OrdersMessage
import mountmast.protocol.WireJson
import java.net.InetSocketAddress

/** What became of commands sent to a worker. */
sealed interface OrdersOutcome {
    data class Executed(val heartbeat: Heartbeat) : OrdersOutcome

    /** Nothing was executed: a higher token, or another session. */
    data class Rejected(val heartbeat: Heartbeat) : OrdersOutcome

    /** The request never left this node. */
    data object NotSent : OrdersOutcome

    /** They may be executed now, later, or never. */
    data object Unknown : OrdersOutcome
}

/** Direct commands to workers. */
fun interface Workers {
    fun order(address: String, message: OrdersMessage): OrdersOutcome
}

/** Workers over HTTP. */
class HttpWorkers(private val caller: HttpCaller = HttpCaller(connectMs = 700)) : Workers {
    override fun order(address: String, message: OrdersMessage): OrdersOutcome {
        val to = parse(address) ?: return OrdersOutcome.NotSent
        try {
            val reply = caller.call(to, "POST", "/orders", WireJson.encodeToString(message).encodeToByteArray(), WAIT_MS)
            return when (reply.status) {
                200 -> OrdersOutcome.Executed(WireJson.decodeFromString<Heartbeat>(reply.text))
                409 -> OrdersOutcome.Rejected(WireJson.decodeFromString<Heartbeat>(reply.text))
                else -> OrdersOutcome.Unknown
            }
        } catch (e: NoAnswerException) {
            return if (e.mayBeCarriedOut) OrdersOutcome.Unknown else OrdersOutcome.NotSent
        } catch (e: IllegalArgumentException) {
            return OrdersOutcome.Unknown
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
