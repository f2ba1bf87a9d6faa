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

/** The cloud in virtual time. */
class StandInCloud(
    private val time: VirtualTime,
    private val random: Random,
    private val types: List<MachineType>,
    private val perOffer: Int,
    private val newWorker: (MachineId, RentalRequest) -> StandInWorker,
) {
    private class Rented(val request: RentalRequest, val at: Long, val upAt: Long) {
        var worker: StandInWorker? = null
    }

    private val machines = LinkedHashMap<MachineId, Rented>()
    private val answers = HashMap<RentalRequestId, List<MachineId>>()
    private var lists = ArrayDeque<Pair<Long, List<ListedMachine>>>()
    private var outageUntil = 0L
    private var number = 0

    /** Which machines, once rented, never come up. */
    var neverBoots: (RentalRequest) -> Boolean = { false }

    /** How many machines were rented so far. */
    val rented get() = number
    val workers: List<StandInWorker> get() = machines.values.mapNotNull { it.worker }

    fun outage(forMs: Long) {
        outageUntil = time.now + forMs
    }

    /** Boots machines and keeps the lists that will be served later. */
    fun step() {
        for ((id, machine) in machines) {
            if (machine.worker == null && time.now >= machine.upAt) machine.worker = newWorker(id, machine.request)
        }
        // The lists of a large fleet are kept a second apart.
        if (machines.size > LARGE_FLEET && time.now - (lists.lastOrNull()?.first ?: 0) < LISTED_EVERY_MS) return
        lists += time.now to machines.map { (id, it) ->
            val state = if (it.worker == null) ListedState.BOOTING else ListedState.RUNNING
            ListedMachine(id, "$id:9000", it.request.type, it.request.zone, it.request.spot, state, (time.now - it.at) / 1000.0)
        }
        while (lists.size > 200) lists.removeFirst()
    }

    /** The cloud takes a machine back. */
    fun take(id: MachineId) {
        time.record { "cloud takes ${id.text}" }
        machines.remove(id)?.worker?.die()
    }

    private fun rentNow(request: RentalRequest): RentalOutcome {
        answers[request.id]?.let { return RentalOutcome.Rented(it) }
        val used = machines.values.count {
            it.request.type == request.type &&
                it.request.zone == request.zone &&
                it.request.spot == request.spot
        }
        val count = minOf(request.count, perOffer - used)
        if (count <= 0) return RentalOutcome.NoCapacity
        val ids = List(count) { MachineId("vm-" + (number++).toString().padStart(6, '0')) }
        for (id in ids) {
            val boot = if (random.nextInt(20) == 0 || neverBoots(request)) Long.MAX_VALUE / 2 else random.nextLong(500, 12_000)
            machines[id] = Rented(request, time.now, time.now + boot)
        }
        answers[request.id] = ids
        return RentalOutcome.Rented(ids)
    }

    private companion object {
        const val LARGE_FLEET = 1000
        const val LISTED_EVERY_MS = 1000L
    }

    /** The cloud as one node reaches it. */
    inner class View(private val faults: ProcessFaults) : Cloud {
        private fun <T> ask(what: () -> String, told: (T) -> String, act: () -> T): T {
            time.record { "cloud ${faults.number} ${what()}" }
            try {
                return reach(act).also { answer -> time.record { "cloud ${faults.number} answers ${told(answer)}" } }
            } catch (e: CloudException) {
                time.record { "cloud ${faults.number} fails ${e.mayBeCarriedOut}" }
                throw e
            }
        }

        private fun <T> reach(act: () -> T): T {
            faults.interruptIfDue(random)
            if (time.now < outageUntil) throw CloudException("outage", mayBeCarriedOut = false)
            if (random.nextDouble() < faults.lossRate) {
                if (random.nextBoolean()) act() else time.later(random.nextLong(100, 15_000)) { act() }
                throw CloudException("lost", mayBeCarriedOut = true)
            }
            faults.repeatLaterIfDue(random) { act() }
            return act().also { faults.interruptIfDue(random) }
        }

        override fun machineTypes() = ask({ "types" }, { WireJson.encodeToString(it) }) { types }
        override fun rent(request: RentalRequest) = ask({ "rent ${WireJson.encodeToString(request)}" }, ::text) { rentNow(request) }
        override fun delete(machines: List<MachineId>) =
            ask({ "delete ${machines.joinToString { it.text }}" }, { "" }) { machines.forEach(::take) }
        override fun list(after: MachineId?): MachinePage = ask({ "list ${after?.text}" }, { WireJson.encodeToString(it) }) {
            val old = lists.lastOrNull { it.first <= time.now - random.nextLong(1000, 6000) }?.second.orEmpty()
            val rest = old.filter { after == null || it.id > after }
            MachinePage(rest.take(5), rest.size > 5)
        }

        private fun text(outcome: RentalOutcome) = when (outcome) {
            is RentalOutcome.Rented -> outcome.machines.joinToString { it.text }
            RentalOutcome.NoCapacity -> "none"
        }
    }
}
