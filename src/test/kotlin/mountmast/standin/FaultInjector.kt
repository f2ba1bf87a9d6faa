package mountmast.standin

import mountmast.protocol.FencingToken

/** Brings failures about in a [World], drawn from its seed. */
class FaultInjector(private val world: World) {
    private val time get() = world.time
    private val random get() = world.random
    private val hosts get() = world.hosts
    private val aliveWorkers get() = world.cloud.workers.filter { it.alive }

    /** What a failure may concern: drawn before its kind, so that each draw takes the same numbers. */
    private class Drawn(val host: ControllerHost, val ms: Long, val worker: StandInWorker?)

    /** One failure. */
    fun draw() {
        val drawn = Drawn(hosts.random(random), random.nextLong(1000, LONGEST_MS), aliveWorkers.randomOrNull(random))
        val kind = random.nextInt(KINDS)
        processFails(kind, drawn) ||
            linkFails(kind, drawn) ||
            workerFails(kind, drawn) ||
            fleetFails(kind, drawn) ||
            usersAct(kind, drawn.ms)
    }

    private fun processFails(kind: Int, drawn: Drawn): Boolean {
        val host = drawn.host
        when (kind) {
            0 -> host.crash(if (random.nextBoolean()) 100L else 4000L)
            1 -> host.faults.dieAtNextCall = true
            2 -> hosts.forEach { it.crash(random.nextLong(50, 4000)) }
            6 -> host.faults.stalledUntil = time.now + drawn.ms / 2
            17 -> {
                // Back within a fraction of a second, twice in a row, at times all of them.
                val all = if (random.nextBoolean()) hosts else listOf(host)
                all.forEach { it.crash(random.nextLong(20, 400)) }
                time.later(random.nextLong(300, 2500)) { all.forEach { it.crash(random.nextLong(20, 400)) } }
            }
            // It stands still for up to well over a lease, in the middle of what it does, and then goes on.
            20, 21 -> hosts.shuffled(random).take(random.nextInt(1, 3)).forEach {
                it.faults.pauseAtNextCallMs = random.nextLong(500, 3 * World.LEASE_MS)
            }
            31 -> repeat(10) { time.later(it * 5000L) { leader()?.crash(random.nextLong(20, 3000)) } }
            33 -> hosts.forEach { it.crash(random.nextLong(World.LEASE_MS, 3 * World.LEASE_MS)) }
            else -> return false
        }
        return true
    }

    private fun linkFails(kind: Int, drawn: Drawn): Boolean {
        val faults = drawn.host.faults
        val until = time.now + drawn.ms
        when (kind) {
            3 -> faults.storeCutUntil = until
            4 -> faults.storeRefusedUntil = until
            5 -> faults.workersCutUntil = until
            7 -> world.store.outage(drawn.ms)
            8 -> world.cloud.outage(drawn.ms)
            15 -> {
                // It loses the state service and the other controllers, but not its workers.
                faults.storeCutUntil = until
                faults.peersCutUntil = until
            }
            16 -> faults.peersCutUntil = until
            19 -> faults.sendsNothingUntil = until
            25 -> world.cutOff(world.zones.random(random), drawn.ms)
            26 -> faults.lateWritesUntil = until
            32 -> world.store.outage(random.nextLong(World.CANCEL_MS, 2 * World.CANCEL_MS))
            34 -> leader()?.faults?.let { its ->
                its.watchesNothingUntil = until
                its.peersCutUntil = until
            }
            else -> return false
        }
        return true
    }

    private fun workerFails(kind: Int, drawn: Drawn): Boolean {
        val worker = drawn.worker
        when (kind) {
            9 -> worker?.cutUntil = time.now + drawn.ms
            10 -> worker?.hangUntil = time.now + drawn.ms / 3
            11 -> worker?.let { taken ->
                taken.noticeEndsAt = time.now + 3000
                time.later(random.nextLong(0, 3000)) { world.cloud.take(taken.id) }
            }
            12 -> worker?.slowTimes = 6
            13 -> worker?.deafUntil = time.now + drawn.ms
            18 -> worker?.reboot()
            else -> return false
        }
        return true
    }

    private fun fleetFails(kind: Int, drawn: Drawn): Boolean {
        val ms = drawn.ms
        when (kind) {
            14 -> aliveWorkers.forEach { if (random.nextBoolean()) it.deafUntil = time.now + ms / 2 }
            22 -> aShareOfTheFleet { it.hangUntil = time.now + ms / 2 }
            23 -> aShareOfTheFleet { it.cutUntil = time.now + ms }
            24 -> aShareOfTheFleet { if (random.nextBoolean()) world.cloud.take(it.id) else it.reboot() }
            27 -> aShareOfTheFleet { it.muteUntil = time.now + ms }
            else -> return false
        }
        return true
    }

    private fun usersAct(kind: Int, ms: Long): Boolean {
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

    /** The state service refuses the leader alone, users cancel elsewhere at that moment, and then it is out for all. */
    fun refusedThenOut(afterMs: Long, outMs: Long) {
        leader()?.faults?.storeRefusedUntil = time.now + afterMs + outMs
        world.users.cancelSomeWithin(afterMs)
        time.later(afterMs) { world.store.outage(outMs) }
    }

    private fun aShareOfTheFleet(fails: (StandInWorker) -> Unit) = aliveWorkers.filter { random.nextInt(3) == 0 }.forEach(fails)

    private companion object {
        const val KINDS = 35
        const val LONGEST_MS = 30_000L
    }
}
