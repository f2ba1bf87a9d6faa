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

/** Serves the cloud provider's API over HTTP from the simulated [cloud]. */
class CloudServer(
    private val clock: SoakClock,
    private val cloud: Cloud,
    private val addressOf: (MachineId) -> String?,
    executor: ExecutorService,
) : AutoCloseable {
    private val server = LoopbackHttpServer(executor, ::respond)

    /** The loopback port that this server listens on. */
    val port: Int get() = server.port

    private fun respond(request: LoopbackHttpRequest): LoopbackHttpResponse? = try {
        route(request)
    } catch (e: CloudException) {
        if (e.mayHaveTakenEffect) null else LoopbackHttpResponse(503, """{"error":"trouble"}""")
    }

    private fun route(request: LoopbackHttpRequest): LoopbackHttpResponse = when (request.path) {
        "/machine_types" -> okResponse(WireJson.encodeToString(MachineTypes(clock.runLocked { cloud.machineTypes() })))
        "/machines/delete" -> {
            val machines = WireJson.decodeFromString<MachineNames>(request.body).machines
            clock.runLocked { cloud.delete(machines) }
            okResponse("{}")
        }
        else -> if (request.method == "POST") rent(request.body) else list(request)
    }

    private fun okResponse(body: String) = LoopbackHttpResponse(200, body)

    private fun rent(body: String): LoopbackHttpResponse {
        val outcome = clock.runLocked { cloud.rent(WireJson.decodeFromString<RentalRequest>(body)) }
        return when (outcome) {
            is RentalOutcome.Rented -> okResponse(WireJson.encodeToString(MachineNames(outcome.machines)))
            RentalOutcome.NoCapacity -> LoopbackHttpResponse(503, """{"error":"no capacity"}""")
        }
    }

    private fun list(request: LoopbackHttpRequest): LoopbackHttpResponse {
        val page = clock.runLocked {
            val listed = cloud.list(request.parameter("from")?.let(::MachineId))
            listed.copy(machines = listed.machines.map { it.copy(address = addressOf(it.id)) })
        }
        return okResponse(WireJson.encodeToString(page))
    }

    override fun close() = server.close()
}
