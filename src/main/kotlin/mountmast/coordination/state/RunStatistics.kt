package mountmast.coordination.state

import mountmast.protocol.MachineId

/** How long one job's tasks ran, and where they ran slowly. Guarded as its [ClusterState] is. */
class RunStatistics {
    /** Runs of its completed tasks, stragglers left out. */
    var runs = 0
        private set

    /** Their duration together, in seconds. */
    var runSumS = 0.0
        private set

    /** Machines that this job's tasks ran slowly on. */
    val slowOn = HashSet<MachineId>()

    /** Records that a task completed after [runS] seconds. */
    internal fun recordRun(runS: Double) {
        runs++
        runSumS += runS
    }

    /** Records that a task ran slowly on [machine]. */
    internal fun recordSlow(machine: MachineId) {
        slowOn += machine
    }
}
