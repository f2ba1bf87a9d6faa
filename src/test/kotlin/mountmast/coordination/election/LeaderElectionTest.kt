package mountmast.coordination.election

import kotlinx.serialization.json.JsonPrimitive
import mountmast.protocol.FencingToken
import mountmast.protocol.ModRevision
import mountmast.protocol.NodeId
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.Compare
import mountmast.storage.Keys
import mountmast.storage.Transaction
import mountmast.storage.TransactionResult
import mountmast.storage.Write
import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Tests elections between processes that share a simulated store in virtual time. */
class LeaderElectionTest {
    private val time = VirtualTime()
    private val standIn = SimulatedStateStore(time)
    private val timing = LeaseTiming.of(leaseS = 10.0, cancelS = 40.0, maxClockOffsetMs = 0.0, heartbeatIntervalS = 1.0)

    private inner class Participant(name: String, run: String = name, val faults: ProcessFaults = ProcessFaults(time)) {
        val store = standIn.Connection(Random(1), faults)
        val metrics = Metrics()
        val election = LeaderElection(store, NodeId(name), run, timing, time.clock(0.0, 0), metrics)
        val token: FencingToken? get() = election.leaderLease?.token
    }

    private fun stepFor(ms: Long, vararg participants: Participant) = repeat((ms / STEP_MS).toInt()) {
        time.advance(STEP_MS)
        participants.forEach { it.election.step() }
    }

    @Test
    fun `the first node is elected, and the second observes it`() {
        val first = Participant("node-0")
        val second = Participant("node-1")
        first.election.step()
        second.election.step()
        assertEquals(FencingToken(0u).firstOfNextTerm(), first.token)
        assertNull(second.token)
        assertEquals(NodeId("node-0"), second.election.leader)
        assertEquals(first.token, second.election.highestToken)
    }

    @Test
    fun `a leader that renews stays leader, and its successor's term is higher`() {
        val first = Participant("node-0")
        val second = Participant("node-1")
        stepFor(60_000, first, second)
        val firstToken = checkNotNull(first.token)
        stepFor(timing.ttlMs + 2 * STEP_MS, second)
        assertEquals(firstToken.firstOfNextTerm(), second.token)
        first.election.step()
        assertNull(first.token)
        assertNull(first.election.renewalAgeMs)
    }

    @Test
    fun `a leader that resigns is replaced at once and not elected again for a while`() {
        val first = Participant("node-0")
        val second = Participant("node-1")
        stepFor(STEP_MS, first, second)
        first.election.resign(checkNotNull(first.election.leaderLease), "a test", abstainMs = 20_000)
        time.advance(STEP_MS)
        first.election.step()
        assertNull(first.token)
        assertEquals(VacancyWait.NOT_NEEDED, first.election.awaitVacancy(0))
        second.election.step()
        assertNotNull(second.token)
    }

    @Test
    fun `a node does not resign from a lease by which it no longer leads`() {
        val first = Participant("node-0")
        first.election.step()
        val former = checkNotNull(first.election.leaderLease)
        first.election.stepDown()
        time.advance(timing.ttlMs + STEP_MS)
        first.election.step()
        val current = first.election.leaderLease
        first.election.resign(former, "a test", abstainMs = 20_000)
        assertNotNull(current)
        assertEquals(current, first.election.leaderLease)
    }

    @Test
    fun `a restarted process replaces its earlier one without waiting for the lease to expire`() {
        val earlier = Participant("node-0", run = "1")
        earlier.election.step()
        val restarted = Participant("node-0", run = "2")
        restarted.election.step()
        assertEquals(checkNotNull(earlier.token).firstOfNextTerm(), restarted.token)
    }

    @Test
    fun `an observed token of a higher term ends no term unless the leader key has changed`() {
        val first = Participant("node-0")
        first.election.step()
        val lease = first.election.leaderLease
        first.election.observeToken(FencingToken(ULong.MAX_VALUE))
        stepFor(2 * STEP_MS, first)
        assertEquals(lease, first.election.leaderLease)

        first.election.observeToken(FencingToken(ULong.MAX_VALUE))
        val key = checkNotNull(first.store.get(Keys.LEADER))
        first.store.commit(Transaction(listOf(Compare(Keys.LEADER, key.modRevision)), listOf(Write.Put(Keys.LEADER, key.value))))
        first.election.step()
        assertNull(first.token)
    }

    @Test
    fun `a leader cut off from the store renews workers' leases for the grace period only`() {
        val first = Participant("node-0")
        first.election.step()
        first.faults.storeCutUntil = Long.MAX_VALUE
        time.advance(timing.ttlMs + timing.graceMs - 1)
        first.election.step()
        assertTrue(first.election.mayRenewWorkerLeases())
        time.advance(1)
        assertFalse(first.election.mayRenewWorkerLeases())
    }

    @Test
    fun `a leader cut off from the store steps down once its lease may have expired and it suspects a newer leader`() {
        val first = Participant("node-0")
        first.election.step()
        first.faults.storeCutUntil = Long.MAX_VALUE
        first.election.observeToken(FencingToken(ULong.MAX_VALUE))
        time.advance(timing.ttlMs - 1)
        first.election.step()
        assertNotNull(first.token)
        time.advance(1)
        first.election.step()
        assertNull(first.token)
    }

    @Test
    fun `an election whose answer was lost is resolved, and counted once`() {
        for (seed in 1L..40L) {
            val faults = ProcessFaults(time).apply { lossRate = 0.5 }
            val lossyStore = SimulatedStateStore(time).Connection(Random(seed), faults)
            val metrics = Metrics()
            val election = LeaderElection(lossyStore, NodeId("node-0"), "1", timing, time.clock(0.0, 0), metrics)
            while (election.leaderLease == null) {
                time.advance(STEP_MS)
                election.step()
            }
            faults.lossRate = 0.0
            val key = checkNotNull(lossyStore.get(Keys.LEADER))
            assertEquals(key.modRevision, election.leaderLease?.modRevision, "seed $seed")
            assertEquals(1, metrics.counter(MetricNames.ELECTIONS).value, "seed $seed")
            assertEquals(FencingToken(0u).firstOfNextTerm(), election.leaderLease?.token, "seed $seed: only one term may have begun")
        }
    }

    @Test
    fun `an unreadable leader key is left alone, and nobody is elected`() {
        val first = Participant("node-0")
        val write = Write.Put(Keys.LEADER, JsonPrimitive("later"))
        val result = first.store.commit(Transaction(listOf(Compare(Keys.LEADER, ModRevision.ABSENT)), listOf(write)))
        stepFor(10_000, first)
        assertTrue(result is TransactionResult.Committed)
        assertNull(first.token)
        assertEquals(JsonPrimitive("later"), first.store.get(Keys.LEADER)?.value)
    }

    @Test
    fun `only a node that follows another leader watches for a vacancy`() {
        val first = Participant("node-0")
        val second = Participant("node-1")
        assertEquals(VacancyWait.NOT_NEEDED, second.election.awaitVacancy(0))
        stepFor(STEP_MS, first, second)
        assertEquals(VacancyWait.NOT_NEEDED, first.election.awaitVacancy(0))
        assertEquals(VacancyWait.WATCHED, second.election.awaitVacancy(0))
        second.faults.storeCutUntil = Long.MAX_VALUE
        assertEquals(VacancyWait.FAILED, second.election.awaitVacancy(0))
        second.faults.storeCutUntil = 0
        stepFor(timing.ttlMs + 2 * STEP_MS, second)
        assertNotNull(second.token)
        assertEquals(VacancyWait.NOT_NEEDED, second.election.awaitVacancy(0))
    }

    @Test
    fun `renewals are delegated to the others for a while after an election, and never to the leader`() {
        val first = Participant("node-0")
        val second = Participant("node-1")
        stepFor(STEP_MS, first, second)
        assertEquals(first.token, second.election.delegatedToken())
        assertNull(first.election.delegatedToken())
        second.election.observeToken(checkNotNull(first.token).firstOfNextTerm())
        assertNull(second.election.delegatedToken(), "a higher term was observed")

        val third = Participant("node-2")
        third.election.step()
        assertEquals(first.token, third.election.delegatedToken())
        time.advance(timing.delegationMs)
        assertNull(third.election.delegatedToken(), "the delegation has expired")
    }

    private companion object {
        const val STEP_MS = 700L
    }
}
