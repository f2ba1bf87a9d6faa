package mountmast.standin

import mountmast.protocol.FencingToken

/** Injects random faults into a [SimulatedCluster]; all draws come from the seed of its simulation run. */
class FaultInjector(private val cluster: SimulatedCluster) {
    private val time get() = cluster.time
    private val random get() = cluster.random
    private val hosts get() = cluster.hosts
    private val aliveWorkers get() = cluster.cloud.workers.filter { it.isAlive }

    /** The node, duration and worker that a fault may affect. They are drawn before the kind, so that each kind takes these same draws. */
    private class FaultTarget(val host: ControllerHost, val ms: Long, val worker: SimulatedWorker?)

    /** Injects one random fault. */
    fun injectRandomFault() {
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
            1 -> host.faults.killAtNextRequest = true
            2 -> hosts.forEach { it.crash(random.nextLong(50, 4000)) }
            6 -> host.faults.stalledUntil = time.now + target.ms / 2
            17 -> {
                // Two crashes in a row, of one node or of all nodes, each followed by a restart within 400 ms.
                val all = if (random.nextBoolean()) hosts else listOf(host)
                all.forEach { it.crash(random.nextLong(20, 400)) }
                time.schedule(random.nextLong(300, 2500)) { all.forEach { it.crash(random.nextLong(20, 400)) } }
            }
            // Pauses a process in the middle of a step, for up to three leases; it then goes on with the same step.
            20, 21 -> hosts.shuffled(random).take(random.nextInt(1, 3)).forEach {
                it.faults.pauseAtNextRequestMs = random.nextLong(500, 3 * SimulatedCluster.LEASE_MS)
            }
            31 -> repeat(10) { time.schedule(it * 5000L) { leader()?.crash(random.nextLong(20, 3000)) } }
            33 -> hosts.forEach { it.crash(random.nextLong(SimulatedCluster.LEASE_MS, 3 * SimulatedCluster.LEASE_MS)) }
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
            7 -> cluster.store.startOutage(target.ms)
            8 -> cluster.cloud.startOutage(target.ms)
            15 -> {
                // The node loses the state service and the other controllers, but not its workers.
                faults.storeCutUntil = until
                faults.peersCutUntil = until
            }
            16 -> faults.peersCutUntil = until
            19 -> faults.sendsBlockedUntil = until
            25 -> cluster.partitionZone(cluster.zones.random(random), target.ms)
            26 -> faults.lateWritesUntil = until
            32 -> cluster.store.startOutage(random.nextLong(SimulatedCluster.CANCEL_MS, 2 * SimulatedCluster.CANCEL_MS))
            34 -> leader()?.faults?.let { leaderFaults ->
                leaderFaults.watchesBlockedUntil = until
                leaderFaults.peersCutUntil = until
            }
            else -> return false
        }
        return true
    }

    private fun injectWorkerFault(kind: Int, target: FaultTarget): Boolean {
        val worker = target.worker
        when (kind) {
            9 -> worker?.partitionedUntil = time.now + target.ms
            10 -> worker?.hangUntil = time.now + target.ms / 3
            11 -> worker?.let { reclaimed ->
                reclaimed.noticeEndsAt = time.now + 3000
                time.schedule(random.nextLong(0, 3000)) { cluster.cloud.terminateMachine(reclaimed.id) }
            }
            12 -> worker?.slowdownFactor = 6
            13 -> worker?.inboundCutUntil = time.now + target.ms
            18 -> worker?.reboot()
            else -> return false
        }
        return true
    }

    private fun injectFleetFault(kind: Int, target: FaultTarget): Boolean {
        val ms = target.ms
        when (kind) {
            14 -> aliveWorkers.forEach { if (random.nextBoolean()) it.inboundCutUntil = time.now + ms / 2 }
            22 -> forThirdOfWorkers { it.hangUntil = time.now + ms / 2 }
            23 -> forThirdOfWorkers { it.partitionedUntil = time.now + ms }
            24 -> forThirdOfWorkers { if (random.nextBoolean()) cluster.cloud.terminateMachine(it.id) else it.reboot() }
            27 -> forThirdOfWorkers { it.outboundCutUntil = time.now + ms }
            else -> return false
        }
        return true
    }

    private fun injectUserLoad(kind: Int, ms: Long): Boolean {
        when (kind) {
            28 -> injectLeaderRefusalThenOutage(random.nextLong(1000, 4000), random.nextLong(5000, 2 * SimulatedCluster.CANCEL_MS))
            29 -> cluster.cancelOnTaskCompletion(ms)
            30 -> repeat(10) { cluster.submitInvalidJob() }
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
    fun injectLeaderRefusalThenOutage(afterMs: Long, outMs: Long) {
        leader()?.faults?.storeRefusedUntil = time.now + afterMs + outMs
        cluster.users.cancelSomeWithin(afterMs)
        time.schedule(afterMs) { cluster.store.startOutage(outMs) }
    }

    private fun forThirdOfWorkers(inject: (SimulatedWorker) -> Unit) = aliveWorkers.filter { random.nextInt(3) == 0 }.forEach(inject)

    private companion object {
        const val FAULT_KINDS = 35
        const val MAX_FAULT_MS = 30_000L
    }
}
