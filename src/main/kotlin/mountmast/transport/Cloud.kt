package mountmast.transport

import com.google.common.util.concurrent.RateLimiter
import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.MachineId
import mountmast.protocol.MachineNames
import mountmast.protocol.MachinePage
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.RentalRequest
import mountmast.protocol.WireJson
import java.net.InetSocketAddress
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/** The cloud did not do what was asked, as far as this node can tell. */
class CloudException(message: String, val mayBeCarriedOut: Boolean) : Exception(message)

/** What a rental request got. */
sealed interface RentalOutcome {
    data class Rented(val machines: List<MachineId>) : RentalOutcome
    data object NoCapacity : RentalOutcome
}

/** The cloud that rents machines. Every call throws [CloudException] where it fails. */
interface Cloud {
    fun machineTypes(): List<MachineType>
    fun rent(request: RentalRequest): RentalOutcome
    fun delete(machines: List<MachineId>)
    fun list(after: MachineId?): MachinePage

    companion object {
        const val MAX_PER_RENTAL = 50
        const val MAX_PER_DELETION = 100
        const val MAX_PER_PAGE = 500

        /** Of the cloud's rate, what this node uses: only the leader calls, but one that was just replaced may still do so. */
        const val RATE_SHARE = 0.8
    }
}

/** The cloud over HTTP, within its rate. */
class HttpCloud(private val at: InetSocketAddress, ratePerS: Double, private val caller: HttpCaller = HttpCaller()) : Cloud {
    private val rate = RateLimiter.create(ratePerS * Cloud.RATE_SHARE)

    override fun machineTypes(): List<MachineType> = decode<MachineTypes>(ask("GET", "/machine_types", null)).types

    override fun rent(request: RentalRequest): RentalOutcome {
        val reply = call("POST", "/machines", WireJson.encodeToString(request))
        return when {
            reply.ok -> RentalOutcome.Rented(decode<MachineNames>(reply).machines)
            reply.status == 503 && "no capacity" in reply.text -> RentalOutcome.NoCapacity
            else -> throw CloudException("rental: status ${reply.status}", mayBeCarriedOut = false)
        }
    }

    override fun delete(machines: List<MachineId>) {
        ask("POST", "/machines/delete", WireJson.encodeToString(MachineNames(machines)))
    }

    override fun list(after: MachineId?): MachinePage {
        val from = after?.let { "&from=" + URLEncoder.encode(it.text, Charsets.UTF_8) } ?: ""
        return decode(ask("GET", "/machines?page=${Cloud.MAX_PER_PAGE}$from", null))
    }

    private fun ask(method: String, path: String, body: String?): Reply {
        val reply = call(method, path, body)
        if (!reply.ok) throw CloudException("$path: status ${reply.status}", mayBeCarriedOut = false)
        return reply
    }

    private fun call(method: String, path: String, body: String?): Reply {
        if (!rate.tryAcquire(RATE_WAIT_S, TimeUnit.SECONDS)) throw CloudException("$path: over the rate", mayBeCarriedOut = false)
        try {
            return caller.call(at, method, path, body?.encodeToByteArray(), WAIT_MS)
        } catch (e: NoAnswerException) {
            throw CloudException("$path: ${e.message}", e.mayBeCarriedOut)
        }
    }

    private inline fun <reified T> decode(reply: Reply): T = try {
        WireJson.decodeFromString<T>(reply.text)
    } catch (e: IllegalArgumentException) {
        throw CloudException("malformed answer: ${e.message}", mayBeCarriedOut = true)
    }

    private companion object {
        const val RATE_WAIT_S = 3L
        const val WAIT_MS = 4000
    }
}
