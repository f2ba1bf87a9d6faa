package mountmast.coordination.jobs

import kotlinx.serialization.json.JsonObject
import mountmast.protocol.JobSpec
import mountmast.protocol.JobValidation
import mountmast.protocol.MalformedRequestException
import mountmast.protocol.TeamId
import mountmast.protocol.TeamQuota

/** Whether a submission describes a job that can be accepted. */
internal sealed interface SubmissionCheck {
    class Valid(val spec: JobSpec) : SubmissionCheck

    class Invalid(val reason: RequestRejection) : SubmissionCheck
}

/** Checks submissions against the protocol, the quotas of teams, the machine types and the prerequisites that they name. Thread-safe. */
internal class SubmissionValidator(
    private val teams: Map<TeamId, TeamQuota>,
    private val machineTypeCache: MachineTypeCache,
    private val prerequisiteValidator: PrerequisiteValidator,
    private val node: HostNode,
) {
    /**
     * Checks [submission]. Throws `StoreException` if its prerequisites cannot be read, and [IllegalArgumentException] if their records
     * cannot be decoded.
     */
    fun check(submission: JsonObject): SubmissionCheck {
        val spec = try {
            JobValidation.parse(submission)
        } catch (e: MalformedRequestException) {
            return SubmissionCheck.Invalid(RequestRejection.MalformedBody(e.message))
        }
        val rejection = checkCanRun(spec) ?: checkPrerequisites(spec)
        return if (rejection == null) SubmissionCheck.Valid(spec) else SubmissionCheck.Invalid(rejection)
    }

    /** Returns why the job in [spec] can never run, or cannot be checked yet; null if machine types and quotas allow it. */
    private fun checkCanRun(spec: JobSpec): RequestRejection? {
        val types = machineTypeCache.types
        if (types.isEmpty()) return RequestRejection.MachineTypesUnknown
        return JobValidation.explainNeverRuns(spec, teams, types)?.let { RequestRejection.NeverRuns(it) }
    }

    /** Returns why the prerequisites in [spec] are rejected; null if all of them are valid. */
    private fun checkPrerequisites(spec: JobSpec): RequestRejection? = when {
        spec.prerequisites.isEmpty() -> null
        !node.acceptsPrerequisites -> RequestRejection.PrerequisitesUnsupported
        else -> when (val check = prerequisiteValidator.check(spec.prerequisites)) {
            PrerequisiteCheck.Valid -> null
            is PrerequisiteCheck.NeverAccepted -> RequestRejection.PrerequisiteNeverAccepted(check.id)
            is PrerequisiteCheck.IsService -> RequestRejection.PrerequisiteIsService(check.id)
        }
    }
}
