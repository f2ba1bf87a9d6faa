package mountmast.coordination.scheduling

import java.util.PriorityQueue

/**
 * A queue of the machines that a job's tasks may go to, the one with the lowest [PlacementScore] first; of machines with the same
 * score the one with the lowest id. All machines of a [MachineGroup] have the same score but for the image, so groups are scored,
 * and their machines are examined only as far as they are needed. Used for one job, while nothing but that job's tasks is
 * placed. Not thread-safe.
 */
internal class PlacementCandidates(
    private val job: JobView,
    groups: Iterable<MachineGroup>,
    /** Whether the job's tasks may go to a machine that has free capacity for them. */
    private val isAllowed: (MachineView) -> Boolean,
) {
    private val image = job.spec.image
    private val runs = PriorityQueue<Run>()

    /** Machines that got a task meanwhile are in the queue by themselves, whatever group they are in now. */
    private val movedMachines = HashSet<MachineView>()

    init {
        for (group in groups) {
            if (!job.spec.perTask.fitsWithin(group.freeCapacity)) continue
            if (group.holds(image)) runs += Run(PlacementScore.of(job, group, true)) { group.nextHolding(image, it) }
            if (!group.allHold(image)) runs += Run(PlacementScore.of(job, group, false)) { nextWithoutImage(group, it) }
        }
    }

    private fun nextWithoutImage(group: MachineGroup, previous: MachineView?): MachineView? {
        var next = group.next(previous)
        while (next != null && image in next.images) next = group.next(next)
        return next
    }

    /** Removes and returns the best machine, or returns null if none is left. */
    fun poll(): MachineView? {
        while (true) {
            val run = runs.poll() ?: return null
            val machine = run.head
            run.advance()
            if (run.head != null) runs += run
            if (machine != null) return machine
        }
    }

    /** Puts back [machine], which was polled, got a task and has free capacity for another. */
    fun requeue(machine: MachineView) {
        movedMachines += machine
        val group = checkNotNull(machine.group)
        runs += Run(PlacementScore.of(job, group, image in machine.images), machine) { null }
    }

    /** Keeps out [machine], which was polled, got a task and has no free capacity for another. */
    fun markFull(machine: MachineView) {
        movedMachines += machine
    }

    /** Machines of the same score in the order of their ids. [head] is null until the first is determined. */
    private inner class Run(val score: Double, var head: MachineView? = null, private val next: (MachineView?) -> MachineView?) :
        Comparable<Run> {
        /** Sets [head] to the next machine that is allowed, or to null after the last. */
        fun advance() {
            do head = next(head) while (head.let { it != null && (it in movedMachines || !isAllowed(it)) })
        }

        /** A run whose first machine is not determined yet comes first among equals, so that it will be. */
        override fun compareTo(other: Run): Int {
            val byScore = score.compareTo(other.score)
            if (byScore != 0) return byScore
            val machine = head ?: return if (other.head == null) 0 else -1
            return other.head?.let { MachineView.BY_ID.compare(machine, it) } ?: 1
        }
    }
}
