package mountmast.coordination.scheduling

/** Scores how well machines suit a job's tasks. */
internal object PlacementScore {
    /** A job with more slack than this, in seconds, can repeat tasks that are lost with a spot machine and still meet its deadline. */
    private const val LONG_SLACK_S = 200.0

    /**
     * Added to the score of on-demand machines for jobs with long slack that allow spot machines, and to the score of spot machines for
     * jobs with short slack that save no checkpoints: tasks without checkpoints lose all of their progress with a reclaimed machine.
     */
    private const val SPOT_MISMATCH_PENALTY = 0.5

    /**
     * Returns the score of a machine of [group] that holds the job's image if [holdsImage]; lower is better. The score is the sum of the
     * time to fetch the image in seconds, the share of the machine's CPUs or memory, whichever is larger, that a task would leave
     * free, and [SPOT_MISMATCH_PENALTY] if it applies.
     */
    fun of(job: JobView, group: MachineGroup, holdsImage: Boolean): Double {
        val spec = job.spec
        val machineType = group.kind.type
        val fetchS = if (holdsImage) 0.0 else spec.imageGb / machineType.fetchGbPerS
        val freeAfter = group.freeCapacity - spec.perTask
        val freeShareAfter = maxOf(freeAfter.cpus / machineType.cpus, freeAfter.memoryGb / machineType.memoryGb)
        return fetchS + freeShareAfter + (if (isSpotMismatch(job, group.kind)) SPOT_MISMATCH_PENALTY else 0.0)
    }

    /**
     * Jobs with long slack prefer spot machines, so that the more expensive on-demand machines become idle and are scaled in; jobs with
     * short slack and without checkpoints prefer on-demand machines.
     */
    private fun isSpotMismatch(job: JobView, kind: MachineKind): Boolean {
        val hasLongSlack = job.timing.slackS > LONG_SLACK_S
        return if (hasLongSlack) !kind.isSpot && job.spec.spotAllowed else kind.isSpot && job.spec.checkpointEveryS <= 0
    }
}
