package mountmast.coordination.scheduling

import java.util.PriorityQueue

/**
 * A priority queue of the machines on which a job's tasks may be placed: the machine with the lowest [PlacementScore] first, and among
 * equal scores the one with the lowest id. The score of a machine depends on its [MachineGroup] and on whether it holds the job's
 * image, so groups are scored, and their machines are examined only when needed. Used for one job, while only tasks of that job
 * are placed. Not thread-safe.
 */
internal class PlacementCandidates(
    private val job: JobView,
    groups: Iterable<MachineGroup>,
    /** Whether the constraints allow the job's tasks on a machine; its free capacity is not considered. */
    private val isAllowed: (MachineView) -> Boolean,
) {
    private val image = job.spec.image
    private val sortedRuns = PriorityQueue<SortedRun>()

    /**
     * Machines that got a task of this job. The [SortedRun]s of the groups skip them; one that can take another task of the job is queued
     * again by [requeue], in a run of its own.
     */
    private val movedMachines = HashSet<MachineView>()

    init {
        for (group in groups) {
            if (!job.spec.perTask.fitsWithin(group.freeCapacity)) continue
            if (group.holds(image)) sortedRuns += SortedRun(PlacementScore.of(job, group, true)) { group.nextHolding(image, it) }
            if (!group.allHold(image)) sortedRuns += SortedRun(PlacementScore.of(job, group, false)) { nextWithoutImage(group, it) }
        }
    }

    private fun nextWithoutImage(group: MachineGroup, previous: MachineView?): MachineView? {
        var next = group.next(previous)
        while (next != null && image in next.images) next = group.next(next)
        return next
    }

    /** Removes and returns the machine with the lowest score and, among equals, the lowest id; returns null if none is left. */
    fun poll(): MachineView? {
        while (true) {
            val run = sortedRuns.poll() ?: return null
            val machine = run.head
            run.advance()
            if (run.head != null) sortedRuns += run
            if (machine != null) return machine
        }
    }

    /** Puts [machine] back into the queue: it was polled, got a task, and has free capacity for another task of the job. */
    fun requeue(machine: MachineView) {
        movedMachines += machine
        val group = checkNotNull(machine.group)
        sortedRuns += SortedRun(PlacementScore.of(job, group, image in machine.images), machine) { null }
    }

    /** Keeps [machine], which was polled and got a task, out of the queue, as it cannot take another task of the job. */
    fun markFull(machine: MachineView) {
        movedMachines += machine
    }

    /** A sorted run: machines with the same score in the order of their ids. [head] is null until its first machine is determined. */
    private inner class SortedRun(val score: Double, var head: MachineView? = null, private val next: (MachineView?) -> MachineView?) :
        Comparable<SortedRun> {
        /** Sets [head] to the next machine that is allowed and got no task of this job, or to null after the last one. */
        fun advance() {
            do head = next(head) while (head.let { it != null && (it in movedMachines || !isAllowed(it)) })
        }

        /** Orders by score, then by the id of [head]. Among equal scores a run whose [head] is not determined comes first. */
        override fun compareTo(other: SortedRun): Int {
            val scoreOrder = score.compareTo(other.score)
            if (scoreOrder != 0) return scoreOrder
            val machine = head ?: return if (other.head == null) 0 else -1
            return other.head?.let { MachineView.BY_ID.compare(machine, it) } ?: 1
        }
    }
}
