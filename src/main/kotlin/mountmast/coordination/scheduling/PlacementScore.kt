package mountmast.coordination.scheduling

/** How well machines suit a job's tasks. */
internal object PlacementScore {
    /** Work with more slack than this, in seconds, is patient. */
    private const val PATIENT_S = 200.0

    /** Work that saves nothing and is pressed is better off on machines that the cloud does not reclaim. */
    private const val WRONG_KIND_PENALTY = 0.5

    /**
     * Returns the score of a machine of [group], which holds the job's image or not. Lower is better: the sum of the time to
     * fetch the image in seconds, the share of capacity that a task would leave free, and a penalty for spot machines
     * where on-demand ones suit the job better, or the reverse.
     */
    fun of(job: JobView, group: MachineGroup, holdsImage: Boolean): Double {
        val spec = job.spec
        val type = group.kind.type
        val fetchS = if (holdsImage) 0.0 else spec.imageGb / type.fetchGbPerS
        val left = group.freeCapacity - spec.perTask
        val leftShare = maxOf(left.cpus / type.cpus, left.memoryGb / type.memoryGb)
        return fetchS + leftShare + (if (isWrongKind(job, group.kind)) WRONG_KIND_PENALTY else 0.0)
    }

    /** Work that can be repeated in time goes to spot machines, so that on-demand ones become idle and are scaled in. */
    private fun isWrongKind(job: JobView, kind: MachineKind): Boolean {
        val isPatient = job.timing.slackS > PATIENT_S
        return if (isPatient) !kind.isSpot && job.spec.spotAllowed else kind.isSpot && job.spec.checkpointEveryS <= 0
    }
}
