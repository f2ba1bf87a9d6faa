package mountmast.transport

import com.google.common.util.concurrent.RateLimiter
import kotlinx.serialization.encodeToString
import mountmast.protocol.MachineId
import mountmast.protocol.MachineNames
import mountmast.protocol.MachinePage
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.RentalRequest
import mountmast.protocol.WireJson
import mountmast.protocol.decodeJson
import java.net.InetSocketAddress
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/** Thrown when a call to the cloud did not succeed. [mayHaveTakenEffect] is false only if the call certainly had no effect. */
class CloudException(message: String, val mayHaveTakenEffect: Boolean) : Exception(message)

/** How the cloud answered a [RentalRequest]. */
sealed interface RentalOutcome {
    /** The cloud rented [machines]. */
    data class Rented(val machines: List<MachineId>) : RentalOutcome

    /** The cloud has no machine of the requested kind at present. */
    data object NoCapacity : RentalOutcome
}

/** API of the cloud that rents machines. Thread-safe. Each call throws a [CloudException] if it does not succeed. */
interface Cloud {
    /** Returns the machine types with their current prices. */
    fun machineTypes(): List<MachineType>

    /** Rents machines; idempotent by the request's id. */
    fun rent(request: RentalRequest): RentalOutcome

    /** Deletes [machines], at most [MAX_PER_DELETION]. */
    fun delete(machines: List<MachineId>)

    /** Returns a page of at most [MAX_PER_PAGE] machines: those that follow [after], or the first ones if [after] is null. */
    fun list(after: MachineId?): MachinePage

    companion object {
        const val MAX_PER_RENTAL = 50
        const val MAX_PER_DELETION = 100
        const val MAX_PER_PAGE = 500

        /**
         * Share of the cloud's rate limit that a node uses. Only the leader calls the cloud, but a leader that was just replaced may
         * still call it.
         */
        const val RATE_SHARE = 0.8
    }
}

/** Calls the cloud over HTTP, at most [Cloud.RATE_SHARE] of [ratePerS] calls per second; [ratePerS] is the cloud's rate limit. */
class HttpCloud(private val address: InetSocketAddress, ratePerS: Double, private val caller: HttpCaller = HttpCaller()) : Cloud {
    private val rateLimiter = RateLimiter.create(ratePerS * Cloud.RATE_SHARE)

    override fun machineTypes(): List<MachineType> = decode<MachineTypes>(callOrThrow("GET", "/machine_types", null)).types

    override fun rent(request: RentalRequest): RentalOutcome {
        val reply = call("POST", "/machines", WireJson.encodeToString(request))
        return when {
            reply.isOk -> RentalOutcome.Rented(decode<MachineNames>(reply).machines)
            reply.status == 503 && "no capacity" in reply.text -> RentalOutcome.NoCapacity
            else -> throw CloudException("rental failed: status ${reply.status}", mayHaveTakenEffect = false)
        }
    }

    override fun delete(machines: List<MachineId>) {
        callOrThrow("POST", "/machines/delete", WireJson.encodeToString(MachineNames(machines)))
    }

    override fun list(after: MachineId?): MachinePage {
        val from = after?.let { "&from=" + URLEncoder.encode(it.text, Charsets.UTF_8) } ?: ""
        return decode(callOrThrow("GET", "/machines?page=${Cloud.MAX_PER_PAGE}$from", null))
    }

    private fun callOrThrow(method: String, path: String, body: String?): Reply {
        val reply = call(method, path, body)
        if (!reply.isOk) throw CloudException("$path failed: status ${reply.status}", mayHaveTakenEffect = false)
        return reply
    }

    private fun call(method: String, path: String, body: String?): Reply {
        if (!rateLimiter.tryAcquire(RATE_WAIT_S, TimeUnit.SECONDS)) {
            throw CloudException("$path: not sent, over this node's share of the cloud's rate limit", mayHaveTakenEffect = false)
        }
        try {
            return caller.call(address, method, path, body?.encodeToByteArray(), TIMEOUT_MS)
        } catch (e: NoAnswerException) {
            throw CloudException("$path: ${e.message}", e.mayHaveTakenEffect)
        }
    }

    private inline fun <reified T> decode(reply: Reply): T = try {
        decodeJson<T>(reply.text)
    } catch (e: IllegalArgumentException) {
        throw CloudException("malformed answer of the cloud: ${e.message}", mayHaveTakenEffect = true)
    }

    private companion object {
        const val RATE_WAIT_S = 3L
        const val TIMEOUT_MS = 4000
    }
}
