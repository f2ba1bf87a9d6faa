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

/** A call to the cloud that did not succeed. [mayBeCarriedOut] is false only if it certainly had no effect. */
class CloudException(message: String, val mayBeCarriedOut: Boolean) : Exception(message)

/** How the cloud answered a [RentalRequest]. */
sealed interface RentalOutcome {
    /** It rented [machines]. */
    data class Rented(val machines: List<MachineId>) : RentalOutcome

    /** It has no such machine at present. */
    data object NoCapacity : RentalOutcome
}

/** The cloud that rents machines. Thread-safe. Each call throws a [CloudException] if it does not succeed. */
interface Cloud {
    /** Returns the machine types with their current prices. */
    fun machineTypes(): List<MachineType>

    /** Rents machines; idempotent by the request's id. */
    fun rent(request: RentalRequest): RentalOutcome

    /** Deletes [machines], at most [MAX_PER_DELETION]. */
    fun delete(machines: List<MachineId>)

    /** Returns the machines that follow [after], or the first ones if that is null, at most [MAX_PER_PAGE]. */
    fun list(after: MachineId?): MachinePage

    companion object {
        const val MAX_PER_RENTAL = 50
        const val MAX_PER_DELETION = 100
        const val MAX_PER_PAGE = 500

        /** The share of the cloud's rate that a node uses: only the leader calls, but one that was just replaced may still do so. */
        const val RATE_SHARE = 0.8
    }
}

/** The cloud over HTTP, within [ratePerS] calls a second. */
class HttpCloud(private val at: InetSocketAddress, ratePerS: Double, private val caller: HttpCaller = HttpCaller()) : Cloud {
    private val rate = RateLimiter.create(ratePerS * Cloud.RATE_SHARE)

    override fun machineTypes(): List<MachineType> = decode<MachineTypes>(callSuccessfully("GET", "/machine_types", null)).types

    override fun rent(request: RentalRequest): RentalOutcome {
        val reply = call("POST", "/machines", WireJson.encodeToString(request))
        return when {
            reply.ok -> RentalOutcome.Rented(decode<MachineNames>(reply).machines)
            reply.status == 503 && "no capacity" in reply.text -> RentalOutcome.NoCapacity
            else -> throw CloudException("rental: status ${reply.status}", mayBeCarriedOut = false)
        }
    }

    override fun delete(machines: List<MachineId>) {
        callSuccessfully("POST", "/machines/delete", WireJson.encodeToString(MachineNames(machines)))
    }

    override fun list(after: MachineId?): MachinePage {
        val from = after?.let { "&from=" + URLEncoder.encode(it.text, Charsets.UTF_8) } ?: ""
        return decode(callSuccessfully("GET", "/machines?page=${Cloud.MAX_PER_PAGE}$from", null))
    }

    private fun callSuccessfully(method: String, path: String, body: String?): Reply {
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
