package mountmast.coordination.state

import mountmast.protocol.ImageId
import mountmast.protocol.JobId
import mountmast.protocol.MachineId
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.protocol.MonotonicTime
import mountmast.protocol.TypeId
import mountmast.protocol.WallTime
import mountmast.storage.JobRecord

/**
 * Everything the leader knows: jobs, tasks, machines and what each team uses. Not thread-safe: guarded by the lock of the
 * leader's term, as all that it consists of. Does no I/O.
 */
class ClusterState(runDecay: Double, losses: TaskLosses = TaskLosses()) {
    /** The jobs that are not finished, in the order in which they became known. */
    val jobs = LinkedHashMap<JobId, Job>()

    /** The machines that are not known to be deleted, or whose assignments are not all released. */
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Machines that were deleted and when, kept so that stale lists and late heartbeats do not bring them back. */
    val tombstones = LinkedHashMap<MachineId, MonotonicTime>()

    /** The machine types that the cloud offers. */
    val types = LinkedHashMap<TypeId, MachineType>()

    /** Images of machines that sent no heartbeat yet, with their sizes in GB, as the leader before recorded them. */
    val recalledImages = HashMap<MachineId, Map<ImageId, Double>>()

    /** Changes that the journal does not hold yet, the oldest first. */
    val pendingChanges = ArrayDeque<PendingChange>()

    /** Jobs that are complete or cancelled; they are finished once none of their assignments lives. */
    val finishing = LinkedHashSet<Job>()

    /** The steps of an assignment. */
    val assignments = AssignmentLifecycle(this, losses)

    /** How long tasks run. */
    val estimates = RunTimeEstimates(runDecay)

    /** Which machines and jobs fail or are slow. */
    val health = Health(this)

    /** Replaces the machine types by those that the cloud or the store lists. */
    fun replaceTypes(machineTypes: MachineTypes) {
        types.clear()
        for (type in machineTypes.types) types[type.id] = type
    }

    /**
     * Adds a job, or updates it, from its record at [modRevision]. All changes of jobs before [knownUpTo] were known until now.
     * Returns the job.
     */
    fun putJob(record: JobRecord, modRevision: ModRevision, now: MonotonicTime, knownUpTo: WallTime = WallTime(0)): Job {
        val job = jobs.getOrPut(record.spec.id) {
            Job(record.spec, record.submitted, modRevision).apply { recordProgress(now) }
        }
        job.modRevision = modRevision
        if (record.cancelled && !job.isCancellationRecorded) {
            job.cancel(knownUpTo, recorded = true)
            finishing += job
        }
        return job
    }

    /** The low watermark of cancellations, if all changes of jobs before [knownUpTo] are known. */
    fun watermark(knownUpTo: WallTime): WallTime =
        jobs.values.filter { it.cancelled && !it.hasNoLiveAssignments() }.minOfOrNull { it.cancelledAfter }?.let { minOf(it, knownUpTo) }
            ?: knownUpTo

    /** What the store holds by now of tasks and machines, as a snapshot's text. */
    fun describe(): String = ClusterStateText.of(jobs.values)

    /** Records that the task [index] of [job] is done; a job that is complete by that is to be finished. */
    fun completeTask(job: Job, index: Int) {
        job.setDone(index)
        finishIfComplete(job)
    }

    /** Has [job] finished if all of its tasks are done. */
    fun finishIfComplete(job: Job) {
        if (job.isComplete) finishing += job
    }

    /** Removes a finished job, with the assignments that it still has. */
    fun removeJob(job: Job, now: MonotonicTime) {
        for (assignment in job.live.values.toList()) assignments.release(assignment, now)
        jobs.remove(job.id)
        finishing.remove(job)
    }

    /** Adds [machine], or puts it in the place of the one that was known only by its name, with the images recalled for it. */
    fun putMachine(machine: Machine) {
        recalledImages.remove(machine.id)?.let(machine::recallImages)
        machines[machine.id] = machine
    }

    /** Records the images that an earlier leader knew of on the machine [id], also while it is known only by its name. */
    fun recallImages(id: MachineId, images: Map<ImageId, Double>) {
        val machine = machines[id]
        if (machine?.type != null) machine.recallImages(images) else recalledImages[id] = images
    }

    /** Records that the cloud has deleted the machine [id]: its assignments end, and it is removed once they are released. */
    fun markDeleted(id: MachineId, now: MonotonicTime) {
        tombstones[id] = now
        val machine = machines[id] ?: return
        assignments.endIncarnation(machine, null, LossCause.MACHINE_DELETED)
        if (machine.live.isEmpty()) machines.remove(id) else machine.rental.beginDeletion()
    }

    /** Forgets the machines that were deleted more than [ageMs] before [now]. */
    fun forgetTombstones(ageMs: Long, now: MonotonicTime) {
        val forgotten = tombstones.entries.takeWhile { now - it.value > ageMs }.map { it.key }
        tombstones.keys.removeAll(forgotten.toSet())
    }
}
