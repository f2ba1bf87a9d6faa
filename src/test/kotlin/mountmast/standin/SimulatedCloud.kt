package mountmast.standin

import kotlinx.serialization.encodeToString
import mountmast.protocol.ListedMachine
import mountmast.protocol.ListedState
import mountmast.protocol.MachineId
import mountmast.protocol.MachinePage
import mountmast.protocol.MachineType
import mountmast.protocol.RentalRequest
import mountmast.protocol.RentalRequestId
import mountmast.protocol.WireJson
import mountmast.transport.Cloud
import mountmast.transport.CloudException
import mountmast.transport.RentalOutcome
import kotlin.random.Random

/**
 * The simulated cloud: rents, boots, lists and terminates machines in virtual time.
 *
 * @param machinesPerOffering how many machines the cloud has of each machine type in each zone, for spot and on-demand machines each
 * @param newWorker creates the worker of a machine that has booted
 */
class SimulatedCloud(
    private val time: VirtualTime,
    private val random: Random,
    private val types: List<MachineType>,
    private val machinesPerOffering: Int,
    private val newWorker: (MachineId, RentalRequest) -> SimulatedWorker,
) {
    private class RentedMachine(val request: RentalRequest, val rentedAt: Long, val bootedAt: Long) {
        var worker: SimulatedWorker? = null
    }

    private val machines = LinkedHashMap<MachineId, RentedMachine>()
    private val rentedByRequest = HashMap<RentalRequestId, List<MachineId>>()
    private var recordedLists = ArrayDeque<Pair<Long, List<ListedMachine>>>()
    private var outageUntil = 0L
    private var machinesRented = 0

    /** Injected fault: whether the machines of a rental request never finish booting. */
    var neverBoots: (RentalRequest) -> Boolean = { false }

    /** Number of machines rented since the start. */
    val rentedCount get() = machinesRented

    /** The workers of all machines that have booted and were not terminated. */
    val workers: List<SimulatedWorker> get() = machines.values.mapNotNull { it.worker }

    /** Lets all requests to the cloud fail for [forMs]. */
    fun startOutage(forMs: Long) {
        outageUntil = time.now + forMs
    }

    /** Boots the machines that are due, and records the list of machines, which requests get with a delay of seconds. */
    fun step() {
        for ((id, machine) in machines) {
            if (machine.worker == null && time.now >= machine.bootedAt) machine.worker = newWorker(id, machine.request)
        }
        // For a large fleet only one list a second is recorded.
        if (machines.size > LARGE_FLEET_MACHINES && time.now - (recordedLists.lastOrNull()?.first ?: 0) < LIST_INTERVAL_MS) return
        recordedLists += time.now to machines.map { (id, it) ->
            val state = if (it.worker == null) ListedState.BOOTING else ListedState.RUNNING
            ListedMachine(id, "$id:9000", it.request.type, it.request.zone, it.request.spot, state, (time.now - it.rentedAt) / 1000.0)
        }
        while (recordedLists.size > 200) recordedLists.removeFirst()
    }

    /** Terminates a machine, on request or because the cloud reclaims it. */
    fun terminateMachine(id: MachineId) {
        time.record { "cloud takes ${id.text}" }
        machines.remove(id)?.worker?.terminate()
    }

    private fun allocate(request: RentalRequest): RentalOutcome {
        rentedByRequest[request.id]?.let { return RentalOutcome.Rented(it) }
        val used = machines.values.count {
            it.request.type == request.type &&
                it.request.zone == request.zone &&
                it.request.spot == request.spot
        }
        val count = minOf(request.count, machinesPerOffering - used)
        if (count <= 0) return RentalOutcome.NoCapacity
        val ids = List(count) { MachineId("vm-" + (machinesRented++).toString().padStart(6, '0')) }
        for (id in ids) {
            val bootMs = if (random.nextInt(20) == 0 || neverBoots(request)) Long.MAX_VALUE / 2 else random.nextLong(500, 12_000)
            machines[id] = RentedMachine(request, time.now, time.now + bootMs)
        }
        rentedByRequest[request.id] = ids
        return RentalOutcome.Rented(ids)
    }

    private companion object {
        const val LARGE_FLEET_MACHINES = 1000
        const val LIST_INTERVAL_MS = 1000L
    }

    /** The connection of one controller process to the cloud, with the injected [faults] of that process. */
    inner class Connection(private val faults: ProcessFaults) : Cloud {
        private fun <T> call(requestText: () -> String, responseText: (T) -> String, request: () -> T): T {
            time.record { "cloud ${faults.number} ${requestText()}" }
            try {
                return callWithFaults(request).also { answer -> time.record { "cloud ${faults.number} answers ${responseText(answer)}" } }
            } catch (e: CloudException) {
                time.record { "cloud ${faults.number} fails ${e.mayHaveTakenEffect}" }
                throw e
            }
        }

        private fun <T> callWithFaults(request: () -> T): T {
            faults.interruptIfDue(random)
            if (time.now < outageUntil) throw CloudException("outage", mayHaveTakenEffect = false)
            if (random.nextDouble() < faults.lossRate) {
                if (random.nextBoolean()) request() else time.schedule(random.nextLong(100, 15_000)) { request() }
                throw CloudException("answer lost", mayHaveTakenEffect = true)
            }
            faults.repeatLaterIfDue(random) { request() }
            return request().also { faults.interruptIfDue(random) }
        }

        override fun machineTypes() = call({ "types" }, { WireJson.encodeToString(it) }) { types }
        override fun rent(request: RentalRequest) = call({ "rent ${WireJson.encodeToString(request)}" }, ::traceText) { allocate(request) }
        override fun delete(machines: List<MachineId>) =
            call({ "delete ${machines.joinToString { it.text }}" }, { "" }) { machines.forEach(::terminateMachine) }
        override fun list(after: MachineId?): MachinePage = call({ "list ${after?.text}" }, { WireJson.encodeToString(it) }) {
            val old = recordedLists.lastOrNull { it.first <= time.now - random.nextLong(1000, 6000) }?.second.orEmpty()
            val rest = old.filter { after == null || it.id > after }
            MachinePage(rest.take(5), rest.size > 5)
        }

        private fun traceText(outcome: RentalOutcome) = when (outcome) {
            is RentalOutcome.Rented -> outcome.machines.joinToString { it.text }
            RentalOutcome.NoCapacity -> "none"
        }
    }
}
