package mountmast.coordination.scheduling

import java.util.PriorityQueue

/**
 * The machines that a job's tasks may go to, the one with the lowest score first; of machines with the same score the one with
 * the lowest id. All machines of a [MachineGroup] score alike but for the image, so groups are scored, and their machines
 * are looked at only as far as they are needed. Used for one job, while nothing but that job's tasks is placed.
 */
class PlacementCandidates(
    private val job: JobView,
    groups: Iterable<MachineGroup>,
    private val score: (group: MachineGroup, holdsImage: Boolean) -> Double,
    /** Whether the job's tasks may go to a machine that has room. */
    private val isAllowed: (MachineView) -> Boolean,
) {
    private val image = job.spec.image
    private val runs = PriorityQueue<Run>()

    /** Machines that got a task meanwhile stand in the queue by themselves, wherever their group is now. */
    private val movedMachines = HashSet<MachineView>()

    init {
        for (group in groups) {
            if (!job.spec.perTask.fitsWithin(group.room)) continue
            if (group.holds(image)) runs += Run(score(group, true)) { group.nextHolding(image, it) }
            if (!group.allHold(image)) runs += Run(score(group, false)) { nextWithoutImage(group, it) }
        }
    }

    private fun nextWithoutImage(group: MachineGroup, before: MachineView?): MachineView? {
        var next = group.next(before)
        while (next != null && image in next.images) next = group.next(next)
        return next
    }

    /** Takes out the best machine; null where none is left. */
    fun poll(): MachineView? {
        while (true) {
            val run = runs.poll() ?: return null
            val machine = run.head
            run.advance()
            if (run.head != null) runs += run
            if (machine != null) return machine
        }
    }

    /** [machine], which was taken out, got a task and has room for another. */
    fun requeue(machine: MachineView) {
        movedMachines += machine
        val group = checkNotNull(machine.group)
        runs += Run(score(group, image in machine.images), machine) { null }
    }

    /** [machine], which was taken out, got a task and has no room for another. */
    fun filled(machine: MachineView) {
        movedMachines += machine
    }

    /** Machines of the same score in the order of their ids. [head] is null before the first was looked for. */
    private inner class Run(val score: Double, var head: MachineView? = null, private val next: (MachineView?) -> MachineView?) :
        Comparable<Run> {
        fun advance() {
            do head = next(head) while (head.let { it != null && (it in movedMachines || !isAllowed(it)) })
        }

        /** A run whose first machine is not known yet comes first among equals, so that it is looked for. */
        override fun compareTo(other: Run): Int {
            val byScore = score.compareTo(other.score)
            if (byScore != 0) return byScore
            val own = head ?: return if (other.head == null) 0 else -1
            val others = other.head ?: return 1
            return MachineView.BY_ID.compare(own, others)
        }
    }
}
