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
 * The leader's in-memory state of the cluster: jobs, tasks, machines and the resources that each team uses. Not thread-safe: this
 * class and every object reachable from it are guarded by the lock of the leader's term. Does no I/O.
 */
class ClusterState(runDecay: Double, losses: TaskLosses = TaskLosses()) {
    /** The jobs that are not finished, in the order in which this leader learned of them. */
    val jobs = LinkedHashMap<JobId, Job>()

    /** The machines that are not known to be deleted, and deleted ones until all of their assignments are released. */
    val machines = LinkedHashMap<MachineId, Machine>()

    /** When each deleted machine was found to be deleted. Kept so that stale lists and late heartbeats do not add the machine again. */
    val tombstones = LinkedHashMap<MachineId, MonotonicTime>()

    /** The machine types that the cloud offers. */
    val machineTypes = LinkedHashMap<TypeId, MachineType>()

    /** Sizes in GB of the images that the previous leader recorded for machines whose type this leader does not know yet. */
    val restoredImages = HashMap<MachineId, Map<ImageId, Double>>()

    /** Changes of the cluster state that are not in the journal yet, the oldest first. */
    val pendingChanges = ArrayDeque<PendingChange>()

    /** Jobs that are complete or cancelled. Such a job is finished as soon as all of its assignments have ended. */
    val finishingJobs = LinkedHashSet<Job>()

    /** Creates, ends and releases assignments. */
    val assignments = AssignmentLifecycle(this, losses)

    /** Estimates of how long tasks run. */
    val estimates = RunTimeEstimates(runDecay)

    /** Detects failing and slow machines, and failing jobs. */
    val health = Health(this)

    /** Replaces the machine types by [newTypes], which were read from the cloud or the store. */
    fun replaceTypes(newTypes: MachineTypes) {
        machineTypes.clear()
        for (type in newTypes.types) machineTypes[type.id] = type
    }

    /**
     * Adds or updates the job of [record], as stored at [modRevision], and returns it. Every change of a job before [knownUpTo] was
     * known before this call; a cancellation that is new in [record] was therefore committed no earlier than that.
     */
    fun putJob(record: JobRecord, modRevision: ModRevision, now: MonotonicTime, knownUpTo: WallTime = WallTime(0)): Job {
        val job = jobs.getOrPut(record.spec.id) {
            Job(record.spec, record.submitted, modRevision).apply { recordReady(now) }
        }
        job.modRevision = modRevision
        if (record.cancelled && !job.isCancellationRecorded) {
            job.cancel(knownUpTo, isRecorded = true)
            finishingJobs += job
        }
        return job
    }

    /**
     * The low watermark of cancellations, given that all changes of jobs before [knownUpTo] are known. No job whose cancellation was
     * committed before the watermark has an assignment that may still run.
     */
    fun watermark(knownUpTo: WallTime): WallTime =
        jobs.values.filter { it.isCancelled && !it.hasNoLiveAssignments() }.minOfOrNull { it.cancelledAfter }?.let { minOf(it, knownUpTo) }
            ?: knownUpTo

    /** Returns the tasks and assignments that the store lists now, as the text of a snapshot. */
    fun toSnapshotText(): String = ClusterStateText.of(jobs.values)

    /** Records that the task [index] of [job] is done, and marks the job for finishing if that was its last task. */
    fun completeTask(job: Job, index: Int) {
        job.setDone(index)
        finishIfComplete(job)
    }

    /** Marks [job] for finishing if all of its tasks are done. */
    fun finishIfComplete(job: Job) {
        if (job.isComplete) finishingJobs += job
    }

    /** Removes a finished job and releases the assignments that it still has. */
    fun removeJob(job: Job, now: MonotonicTime) {
        for (assignment in job.unreleasedAssignments.values.toList()) assignments.release(assignment, now)
        jobs.remove(job.id)
        finishingJobs.remove(job)
    }

    /** Adds [machine], or replaces its entry that held only the name, and takes over the images recorded for it by the previous leader. */
    fun putMachine(machine: Machine) {
        restoredImages.remove(machine.id)?.let(machine::restoreImages)
        machines[machine.id] = machine
    }

    /** Records the images that the previous leader recorded for the machine [id]; they are kept until its type is known. */
    fun restoreImages(id: MachineId, images: Map<ImageId, Double>) {
        val machine = machines[id]
        if (machine?.type != null) machine.restoreImages(images) else restoredImages[id] = images
    }

    /** Records that the cloud has deleted the machine [id]. Its assignments end, and the machine is removed once they are released. */
    fun markDeleted(id: MachineId, now: MonotonicTime) {
        tombstones[id] = now
        val machine = machines[id] ?: return
        assignments.endIncarnation(machine, null, LossCause.MACHINE_DELETED)
        if (machine.unreleasedAssignments.isEmpty()) machines.remove(id) else machine.rental.beginDeletion()
    }

    /** Removes the tombstones of the machines that were deleted more than [ageMs] milliseconds before [now]. */
    fun forgetTombstones(ageMs: Long, now: MonotonicTime) {
        val forgotten = tombstones.entries.takeWhile { now - it.value > ageMs }.map { it.key }
        tombstones.keys.removeAll(forgotten.toSet())
    }
}
