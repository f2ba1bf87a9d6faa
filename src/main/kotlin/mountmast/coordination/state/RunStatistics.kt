package mountmast.coordination.state

import mountmast.protocol.MachineId

/** The run times of one job's completed tasks, and the machines on which its tasks were slow. Guarded by the lock of the leader's term. */
class RunStatistics {
    /** How many of the job's tasks completed, not counting stragglers. */
    var runCount = 0
        private set

    /** The total run time of the completed tasks, not counting stragglers, in seconds. */
    var totalRunS = 0.0
        private set

    /** The machines on which the job had stragglers. */
    val slowMachines = HashSet<MachineId>()

    /** Records that a task that is not a straggler completed after running for [runS] seconds. */
    internal fun recordRun(runS: Double) {
        runCount++
        totalRunS += runS
    }

    /** Records that a task was a straggler on [machine]. */
    internal fun recordStraggler(machine: MachineId) {
        slowMachines += machine
    }
}
