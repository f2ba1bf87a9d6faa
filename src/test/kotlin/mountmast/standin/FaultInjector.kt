package mountmast.standin

import mountmast.protocol.FencingToken

/** Injects random faults into a [World]; all draws come from the seed of its simulation run. */
class FaultInjector(private val world: World) {
    private val time get() = world.time
    private val random get() = world.random
    private val hosts get() = world.hosts
    private val aliveWorkers get() = world.cloud.workers.filter { it.alive }

    /** The node, duration and worker that a fault may affect. They are drawn before the kind, so that each kind takes these same draws. */
    private class FaultTarget(val host: ControllerHost, val ms: Long, val worker: StandInWorker?)

    /** Injects one random fault. */
    fun draw() {
        val target = FaultTarget(hosts.random(random), random.nextLong(1000, MAX_FAULT_MS), aliveWorkers.randomOrNull(random))
        val kind = random.nextInt(FAULT_KINDS)
        injectProcessFault(kind, target) ||
            injectConnectionFault(kind, target) ||
            injectWorkerFault(kind, target) ||
            injectFleetFault(kind, target) ||
            injectUserLoad(kind, target.ms)
    }

    private fun injectProcessFault(kind: Int, target: FaultTarget): Boolean {
        val host = target.host
        when (kind) {
            0 -> host.crash(if (random.nextBoolean()) 100L else 4000L)
            1 -> host.faults.dieAtNextCall = true
            2 -> hosts.forEach { it.crash(random.nextLong(50, 4000)) }
            6 -> host.faults.stalledUntil = time.now + target.ms / 2
            17 -> {
                // Two crashes in a row, of one node or of all nodes, each with a restart within 400 ms.
                val all = if (random.nextBoolean()) hosts else listOf(host)
                all.forEach { it.crash(random.nextLong(20, 400)) }
                time.later(random.nextLong(300, 2500)) { all.forEach { it.crash(random.nextLong(20, 400)) } }
            }
            // Pauses a process in the middle of a step, for up to three leases; it then goes on with the same step.
            20, 21 -> hosts.shuffled(random).take(random.nextInt(1, 3)).forEach {
                it.faults.pauseAtNextCallMs = random.nextLong(500, 3 * World.LEASE_MS)
            }
            31 -> repeat(10) { time.later(it * 5000L) { leader()?.crash(random.nextLong(20, 3000)) } }
            33 -> hosts.forEach { it.crash(random.nextLong(World.LEASE_MS, 3 * World.LEASE_MS)) }
            else -> return false
        }
        return true
    }

    private fun injectConnectionFault(kind: Int, target: FaultTarget): Boolean {
        val faults = target.host.faults
        val until = time.now + target.ms
        when (kind) {
            3 -> faults.storeCutUntil = until
            4 -> faults.storeRefusedUntil = until
            5 -> faults.workersCutUntil = until
            7 -> world.store.outage(target.ms)
            8 -> world.cloud.outage(target.ms)
            15 -> {
                // The node loses the state service and the other controllers, but not its workers.
                faults.storeCutUntil = until
                faults.peersCutUntil = until
            }
            16 -> faults.peersCutUntil = until
            19 -> faults.sendsNothingUntil = until
            25 -> world.cutOff(world.zones.random(random), target.ms)
            26 -> faults.lateWritesUntil = until
            32 -> world.store.outage(random.nextLong(World.CANCEL_MS, 2 * World.CANCEL_MS))
            34 -> leader()?.faults?.let { leaderFaults ->
                leaderFaults.watchesNothingUntil = until
                leaderFaults.peersCutUntil = until
            }
            else -> return false
        }
        return true
    }

    private fun injectWorkerFault(kind: Int, target: FaultTarget): Boolean {
        val worker = target.worker
        when (kind) {
            9 -> worker?.cutUntil = time.now + target.ms
            10 -> worker?.hangUntil = time.now + target.ms / 3
            11 -> worker?.let { reclaimed ->
                reclaimed.noticeEndsAt = time.now + 3000
                time.later(random.nextLong(0, 3000)) { world.cloud.take(reclaimed.id) }
            }
            12 -> worker?.slowTimes = 6
            13 -> worker?.deafUntil = time.now + target.ms
            18 -> worker?.reboot()
            else -> return false
        }
        return true
    }

    private fun injectFleetFault(kind: Int, target: FaultTarget): Boolean {
        val ms = target.ms
        when (kind) {
            14 -> aliveWorkers.forEach { if (random.nextBoolean()) it.deafUntil = time.now + ms / 2 }
            22 -> forThirdOfWorkers { it.hangUntil = time.now + ms / 2 }
            23 -> forThirdOfWorkers { it.cutUntil = time.now + ms }
            24 -> forThirdOfWorkers { if (random.nextBoolean()) world.cloud.take(it.id) else it.reboot() }
            27 -> forThirdOfWorkers { it.muteUntil = time.now + ms }
            else -> return false
        }
        return true
    }

    private fun injectUserLoad(kind: Int, ms: Long): Boolean {
        when (kind) {
            28 -> refusedThenOut(random.nextLong(1000, 4000), random.nextLong(5000, 2 * World.CANCEL_MS))
            29 -> world.cancelsAtEnd(ms)
            30 -> repeat(10) { world.submitOdd() }
            else -> return false
        }
        return true
    }

    private fun leader() = hosts.filter { it.controller?.leaderTerm() != null }.maxByOrNull {
        it.controller?.leaderTerm()?.leaderLease?.token ?: FencingToken(0u)
    }

    /**
     * The state service refuses requests of the leader only, while users cancel jobs, which other nodes can record; after
     * [afterMs] it has an outage of [outMs] for all nodes.
     */
    fun refusedThenOut(afterMs: Long, outMs: Long) {
        leader()?.faults?.storeRefusedUntil = time.now + afterMs + outMs
        world.users.cancelSomeWithin(afterMs)
        time.later(afterMs) { world.store.outage(outMs) }
    }

    private fun forThirdOfWorkers(inject: (StandInWorker) -> Unit) = aliveWorkers.filter { random.nextInt(3) == 0 }.forEach(inject)

    private companion object {
        const val FAULT_KINDS = 35
        const val MAX_FAULT_MS = 30_000L
    }
}
