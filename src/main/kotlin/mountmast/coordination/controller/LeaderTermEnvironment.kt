package mountmast.coordination.controller

import mountmast.coordination.election.LeaseTiming
import mountmast.coordination.state.Invariants
import mountmast.coordination.state.TaskLosses
import mountmast.protocol.Clock
import mountmast.protocol.JobId
import mountmast.protocol.ModRevision
import mountmast.storage.JobRecord
import mountmast.storage.PrerequisiteLists
import mountmast.storage.StateStore
import mountmast.transport.WorkerClient

/** What all terms of one process share: the systems around it, its clock and bounds, and what it counts and knows of jobs. */
class LeaderTermEnvironment(
    val store: StateStore,
    val workers: WorkerClient,
    val timing: LeaseTiming,
    val clock: Clock,
    val prerequisiteLists: PrerequisiteLists,
    val jobKnowledge: NodeJobKnowledge = NodeJobKnowledge.None,
    val diagnostics: Diagnostics = Diagnostics(),
) {
    /** Counters that outlive a term: why tasks were lost, and which invariants were found violated. */
    class Diagnostics(val losses: TaskLosses = TaskLosses(), val invariants: Invariants = Invariants())
}

/** What a node knows of jobs whether it leads or not. Called with the term's lock held, so implementations do no I/O. */
interface NodeJobKnowledge {
    /** Whether some node announced that job [id] is cancelled. */
    fun isCancelled(id: JobId): Boolean

    /** Called with each record of a live job that the leader reads. */
    fun onJobRecord(record: JobRecord, modRevision: ModRevision)

    /** Knows of no job. */
    object None : NodeJobKnowledge {
        override fun isCancelled(id: JobId) = false

        override fun onJobRecord(record: JobRecord, modRevision: ModRevision) = Unit
    }
}
