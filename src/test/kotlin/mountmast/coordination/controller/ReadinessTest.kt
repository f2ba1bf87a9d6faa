package mountmast.coordination.controller

import mountmast.protocol.PeerHeartbeat
import mountmast.standin.ControllerHost
import mountmast.standin.NodeVersion
import mountmast.standin.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** What `/ready` says when nodes lose the state service, one another, or both. A node that hears nobody may be the only one cut off. */
class ReadinessTest {
    private val ControllerHost.isReady get() = controller?.users?.isReady() == true

    private fun SimulatedCluster.readiness() = hosts.map { it.isReady }

    private fun SimulatedCluster.leaderHost() = hosts.first { it.controller?.leaderTerm() != null }

    private fun cluster(seed: Long, version: NodeVersion = NodeVersion.CURRENT) =
        SimulatedCluster(seed, isNetworkReliable = true, version = version).apply {
            run(8000, busy = false)
            assertEquals(listOf(true, true, true), readiness())
        }

    /** Cuts [host] from the state service and from all other nodes for [ms]. */
    private fun SimulatedCluster.cut(host: ControllerHost, ms: Long) {
        host.faults.storeCutUntil = time.now + ms
        host.faults.peersCutUntil = time.now + ms
    }

    /** Asserts that only [unready] turns unready within [withinMs] and stays so, while the others stay ready, for [forMs] in all. */
    private fun SimulatedCluster.assertUnready(unready: ControllerHost, withinMs: Long, forMs: Long) {
        val startedAt = time.now
        while (time.now - startedAt < forMs) {
            run(500, busy = false)
            hosts.filter { it !== unready }.forEach { assertTrue(it.isReady, "${it.name} serves users and is unready") }
            if (time.now - startedAt > withinMs) assertTrue(!unready.isReady, "${unready.name} is cut off and ready")
        }
    }

    @Test
    fun `a leader cut off from the state service and from its peers is unready until the cut ends`() {
        // It took silence for "no other node serves" and stayed ready, so that polls of its users failed for as long as the cut lasted.
        val cluster = cluster(1)
        val leader = cluster.leaderHost()
        cluster.cut(leader, 120_000)
        cluster.assertUnready(leader, withinMs = TURN_UNREADY_MS, forMs = 119_000)
        cluster.run(4000, busy = false)
        assertEquals(listOf(true, true, true), cluster.readiness())
    }

    @Test
    fun `a follower refused by the state service and cut off from its peers is unready until the refusal ends`() {
        val cluster = cluster(2)
        val follower = cluster.hosts.first { it !== cluster.leaderHost() }
        follower.faults.storeRefusedUntil = cluster.time.now + 120_000
        follower.faults.peersCutUntil = cluster.time.now + 120_000
        cluster.assertUnready(follower, withinMs = TURN_UNREADY_MS, forMs = 119_000)
        cluster.run(4000, busy = false)
        assertEquals(listOf(true, true, true), cluster.readiness())
    }

    @Test
    fun `two nodes cut off together are unready, though each hears that the other cannot serve`() {
        val cluster = cluster(3)
        val (outside, inside) = cluster.hosts.partition { it.zone == cluster.zones[1] }
        assertEquals(1 to 2, outside.size to inside.size)
        cluster.partitionZone(cluster.zones[0], 60_000)
        cluster.run(TURN_UNREADY_MS, busy = false)
        repeat(20) {
            cluster.run(2000, busy = false)
            assertEquals(listOf(false, true, false), cluster.readiness())
        }
    }

    @Test
    fun `a node whose cuts come and go is unready in each of them`() {
        val cluster = cluster(4)
        val host = cluster.hosts[0]
        repeat(5) {
            cluster.cut(host, 20_000)
            cluster.assertUnready(host, withinMs = TURN_UNREADY_MS, forMs = 19_000)
            cluster.run(6000, busy = false)
            assertEquals(listOf(true, true, true), cluster.readiness())
        }
    }

    @Test
    fun `heartbeats of peers that arrive late do not make a cut-off node ready`() {
        val cluster = cluster(5)
        val host = cluster.hosts[0]
        cluster.cut(host, 60_000)
        cluster.run(TURN_UNREADY_MS, busy = false)
        repeat(30) {
            for (peer in cluster.hosts - host) {
                host.controller!!.onPeerHeartbeat(PeerHeartbeat(peer.name.text, 0, serves = false, leads = false))
            }
            assertEquals(listOf(false, true, true), cluster.readiness())
            cluster.run(1000, busy = false)
        }
    }

    @Test
    fun `a node that was just started and reaches nobody is unready`() {
        val cluster = cluster(6)
        val host = cluster.hosts[0]
        host.crash(2000)
        cluster.cut(host, 60_000)
        cluster.assertUnready(host, withinMs = TURN_UNREADY_MS, forMs = 59_000)
    }

    @Test
    fun `a node that is restarted while others serve is unready until it can serve`() {
        for (seed in 20L..29L) {
            val cluster = cluster(seed)
            val host = cluster.hosts[0]
            host.crash(200)
            // It reaches its peers, but not the state service, so it never learns the machine types.
            host.faults.storeCutUntil = cluster.time.now + 20_000
            cluster.assertUnready(host, withinMs = 0, forMs = 19_000)
        }
    }

    @Test
    fun `if all nodes are restarted, each is ready as soon as its first exchange of heartbeats is over`() {
        // The load balancer asks twice before it uses a node again; users would be answered later if a node waited until it can serve.
        val cluster = cluster(30)
        cluster.hosts.forEach { it.crash(if (it.number == 0) 4000 else 6000) }
        cluster.hosts.forEach { it.faults.storeRefusedUntil = cluster.time.now + 8000 }
        cluster.run(4600, busy = false)
        assertEquals(listOf(true, false, false), cluster.readiness())
        repeat(10) {
            cluster.run(2000, busy = false)
            assertEquals(listOf(true, true, true), cluster.readiness())
        }
    }

    @Test
    fun `beside nodes of the version in production, a cut-off node is unready`() {
        val cluster = cluster(7, NodeVersion.PRODUCTION)
        val host = cluster.hosts[0]
        host.crash(200)
        host.version = NodeVersion.CURRENT
        cluster.run(6000, busy = false)
        cluster.cut(host, 60_000)
        cluster.assertUnready(host, withinMs = TURN_UNREADY_MS, forMs = 59_000)
    }

    @Test
    fun `in an outage for all nodes each stays ready, from before it begins until after it ends`() {
        // The load balancer avoids a node for long that was unready.
        for (seed in 8L..12L) {
            val cluster = cluster(seed)
            cluster.store.startOutage(30_000)
            repeat(80) {
                cluster.run(500, busy = false)
                assertEquals(listOf(true, true, true), cluster.readiness(), "seed $seed")
            }
        }
    }

    @Test
    fun `in an outage nodes are unready while another does not respond, and ready as soon as they can serve`() {
        // The silent node might serve users: which error is chosen here is told in docs/design.md.
        val cluster = cluster(13)
        cluster.hosts[2].crash(60_000)
        cluster.store.startOutage(30_000)
        cluster.run(20_000, busy = false)
        assertEquals(listOf(false, false, false), cluster.readiness())
        cluster.run(12_000, busy = false)
        assertEquals(listOf(true, true, false), cluster.readiness())
    }

    @Test
    fun `all nodes restarted in an outage are ready once each knows that no other serves`() {
        val cluster = cluster(14)
        cluster.store.startOutage(60_000)
        cluster.hosts.forEach { it.crash(4000) }
        cluster.run(3000, busy = false)
        assertEquals(listOf(false, false, false), cluster.readiness())
        cluster.run(5000, busy = false)
        assertEquals(listOf(true, true, true), cluster.readiness())
    }

    @Test
    fun `on random days no node that cannot serve stays ready while another serves`() {
        for (seed in 1L..RANDOM_DAYS) playRandomDay(seed)
    }

    /** Cuts nodes from the state service and from their peers at random, and checks after each step who is ready. */
    private fun playRandomDay(seed: Long) {
        val random = Random(seed)
        val cluster = cluster(1000 + seed)
        val cutFromStoreSince = arrayOfNulls<Long>(SimulatedCluster.NODES)
        var anotherServesSince: Long? = null
        repeat(200) {
            val host = cluster.hosts.random(random)
            val until = cluster.time.now + random.nextLong(2000, 60_000)
            when (random.nextInt(20)) {
                0 -> host.faults.storeCutUntil = until
                1 -> host.faults.storeRefusedUntil = until
                2 -> host.faults.peersCutUntil = until
                3 -> cluster.cut(host, until - cluster.time.now)
            }
            cluster.run(500, busy = false)
            val cannotServe = cluster.hosts.map { it.faults.isCutFromStore() || it.faults.isRefusedByStore() }
            for ((node, cannot) in cannotServe.withIndex()) {
                cutFromStoreSince[node] = if (cannot) cutFromStoreSince[node] ?: cluster.time.now else null
            }
            anotherServesSince = if (cutFromStoreSince.any { it == null }) anotherServesSince ?: cluster.time.now else null
            anotherServesSince?.let { checkReadiness(seed, cluster, cutFromStoreSince.toList(), it) }
        }
    }

    /** Asserts that each node that has not reached the state service for long, while another has since [anotherServesSince], is unready. */
    private fun checkReadiness(seed: Long, cluster: SimulatedCluster, cutFromStoreSince: List<Long?>, anotherServesSince: Long) {
        val now = cluster.time.now
        val servedFor = now - anotherServesSince
        for ((node, since) in cutFromStoreSince.withIndex()) {
            if (since == null || minOf(now - since, servedFor) <= TURN_UNREADY_MS) continue
            assertTrue(!cluster.hosts[node].isReady, "seed $seed, ${now / 1000.0} s: node-$node cannot serve and is ready")
        }
    }

    private companion object {
        /** Time in which a cut-off node has to turn unready: a sixth of the 90 s after which its users count as forgotten. */
        const val TURN_UNREADY_MS = 15_000L
        const val RANDOM_DAYS = 12L
    }
}
