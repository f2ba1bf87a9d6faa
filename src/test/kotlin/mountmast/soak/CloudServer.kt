package mountmast.soak

import kotlinx.serialization.decodeFromString
import kotlinx.serialization.encodeToString
import mountmast.protocol.MachineId
import mountmast.protocol.MachineNames
import mountmast.protocol.MachineTypes
import mountmast.protocol.RentalRequest
import mountmast.protocol.WireJson
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import mountmast.transport.RentalOutcome
import java.util.concurrent.ExecutorService

/** The cloud over HTTP. */
class CloudServer(
    private val clock: SoakClock,
    private val view: Cloud,
    private val addressOf: (MachineId) -> String?,
    executor: ExecutorService,
) : AutoCloseable {
    private val server = StandInServer(executor, ::answer)

    /** Where it listens. */
    val port: Int get() = server.port

    private fun answer(request: StandInRequest): StandInAnswer? = try {
        route(request)
    } catch (e: CloudException) {
        if (e.mayBeCarriedOut) null else StandInAnswer(503, """{"error":"trouble"}""")
    }

    private fun route(request: StandInRequest): StandInAnswer = when (request.path) {
        "/machine_types" -> ok(WireJson.encodeToString(MachineTypes(clock.locked { view.machineTypes() })))
        "/machines/delete" -> {
            val machines = WireJson.decodeFromString<MachineNames>(request.body).machines
            clock.locked { view.delete(machines) }
            ok("{}")
        }
        else -> if (request.method == "POST") rent(request.body) else list(request)
    }

    private fun ok(body: String) = StandInAnswer(200, body)

    private fun rent(body: String): StandInAnswer {
        val outcome = clock.locked { view.rent(WireJson.decodeFromString<RentalRequest>(body)) }
        return when (outcome) {
            is RentalOutcome.Rented -> ok(WireJson.encodeToString(MachineNames(outcome.machines)))
            RentalOutcome.NoCapacity -> StandInAnswer(503, """{"error":"no capacity"}""")
        }
    }

    private fun list(request: StandInRequest): StandInAnswer {
        val page = clock.locked {
            val listed = view.list(request.parameter("from")?.let(::MachineId))
            listed.copy(machines = listed.machines.map { it.copy(address = addressOf(it.id)) })
        }
        return ok(WireJson.encodeToString(page))
    }

    override fun close() = server.close()
}
