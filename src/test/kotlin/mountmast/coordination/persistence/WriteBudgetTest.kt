package mountmast.coordination.persistence

import mountmast.protocol.ImageId
import mountmast.protocol.JobSpec
import mountmast.protocol.Shape
import mountmast.protocol.StateLimits
import mountmast.protocol.TeamId
import mountmast.protocol.Urgency
import mountmast.standin.FallingLimits
import mountmast.standin.SimulatedCluster
import mountmast.standin.WriteKind
import mountmast.storage.StoreRateQuota
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Writes per second of the leader of a fully used fleet, with a store that allows few writes per second. */
class WriteBudgetTest {
    /** A fleet of [machines] on which [tasksPerSecond] tasks start and end each second, in jobs of [TASKS_PER_JOB] tasks. */
    private class FullFleet(private val name: String, machines: Int, private val tasksPerSecond: Int, compact: Boolean) {
        val world = SimulatedCluster(
            91,
            isNetworkReliable = true,
            machinesPerOffering = machines / OFFERING_COUNT,
            limits = FallingLimits(LIMITS, enforcesRates = true),
            negotiatesFormats = compact,
        )
        private var submitted = 0
        private var refused = 0
        private val submissionIntervalMs = 1000L * TASKS_PER_JOB / tasksPerSecond
        private var nextSubmissionAt = 5000L

        private fun submitNext() {
            val spec = world.job(submitted++) {
                it.copy(
                    team = TeamId("free"), shape = Shape.ARRAY, urgency = Urgency.NORMAL, tasks = TASKS_PER_JOB, cpus = 1.2, memoryGb = 2.0,
                    image = ImageId("i"), imageGb = 0.2, types = null, zone = null, singleZone = false, spreadAcrossZones = false,
                    spotAllowed = true, estimateS = TASK_DURATION_S, checkpointEveryS = 0.0, deadlineS = null,
                )
            }
            submit(spec)
        }

        /** Submits [spec]; if the submission is refused, repeats it one second later, as users do. */
        private fun submit(spec: JobSpec) {
            if (world.submit(spec) in 200..201) return
            refused++
            world.time.schedule(1000) { submit(spec) }
        }

        fun run(ms: Long) {
            val until = world.time.now + ms
            while (world.time.now < until) {
                while (nextSubmissionAt <= world.time.now) {
                    submitNext()
                    nextSubmissionAt += submissionIntervalMs
                }
                world.run(200, busy = false)
            }
        }

        /** Runs for [RAMP_UP_MS], until the load is steady, then for [MEASURED_MS], and checks the writes of that second period. */
        fun measure() {
            run(RAMP_UP_MS)
            val writesBefore = HashMap(world.store.writesByKind)
            val startedBefore = world.invariants.startCount
            val refusedBefore = refused
            val measuredFrom = world.time.now
            run(MEASURED_MS)
            val seconds = (world.time.now - measuredFrom) / 1000.0
            val perKind = world.store.writesByKind.mapValues { (kind, count) -> (count - (writesBefore[kind] ?: 0)) / seconds }
            println("$name: ${perKind.entries.joinToString { "${it.key} %.2f".format(it.value) }}")
            println("$name: ${refused - refusedBefore} refused submissions, 429: ${world.store.rateLimitedRequests}")
            assertEquals(refusedBefore, refused, "submissions refused")
            assertKeepsUp((world.invariants.startCount - startedBefore) / seconds)
            assertWritten(perKind)
        }

        private fun assertKeepsUp(startedPerSecond: Double) {
            println("$name: %.1f starts a second, %d changes pending".format(startedPerSecond, pendingChanges()))
            assertTrue(startedPerSecond > tasksPerSecond * 0.85, "$startedPerSecond starts a second")
            assertTrue(pendingChanges() < tasksPerSecond * 5, "${pendingChanges()} changes pending")
        }

        private fun assertWritten(perKind: Map<WriteKind, Double>) {
            val quota = StoreRateQuota.writes(LIMITS, 3, isLeader = true)
            val leaderWritesPerSecond = perKind.filterKeys { it != WriteKind.USERS }.values.sum()
            println("$name: leader %.2f of %.2f writes a second".format(leaderWritesPerSecond, quota))
            assertEquals(0, world.store.rateLimitedRequests, "requests over the rates")
            assertEquals(0, world.store.oversizedTransactions, "transactions over the limits")
            assertTrue(leaderWritesPerSecond <= quota, "$leaderWritesPerSecond of $quota")
            assertTrue((perKind[WriteKind.PROGRESS] ?: 0.0) >= 0.3, "the progress of jobs is written")
            assertTrue((perKind[WriteKind.WATERMARK] ?: 0.0) >= 0.3, "the watermark is written")
            assertTrue((perKind[WriteKind.SNAPSHOT] ?: 0.0) > 0, "snapshots are written")
        }

        private fun pendingChanges() = world.hosts.mapNotNull {
            it.controller?.leaderTerm()
        }.maxBy { it.leaderLease.token }.cluster.pendingChanges.size
    }

    @Test
    fun `600 machines with 60 starts and ends a second stay within the leader's write quota`() {
        FullFleet("600 machines, compact", 600, 60, compact = true).measure()
    }

    @Test
    fun `900 machines with 90 starts and ends a second stay within the leader's write quota`() {
        FullFleet("900 machines, compact", 900, 90, compact = true).measure()
    }

    @Test
    fun `600 machines stay within the write quota while the compressed forms are not agreed on`() {
        FullFleet("600 machines, plain forms", 600, 60, compact = false).measure()
    }

    private companion object {
        val LIMITS = StateLimits(250.0, 21.0, 2.0, 5)
        const val OFFERING_COUNT = 8
        const val TASKS_PER_JOB = 40
        const val TASK_DURATION_S = 78.0
        const val RAMP_UP_MS = 110_000L
        const val MEASURED_MS = 60_000L
    }
}
