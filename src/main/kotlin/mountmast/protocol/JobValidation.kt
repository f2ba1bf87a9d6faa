package mountmast.protocol

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject

/** A user's request body violates the protocol. The message is the error text of the answer and begins with the name of the field,
 * or with `body`. */
class MalformedRequestException(message: String) : Exception(message)

/** Parses submitted jobs and checks whether they can ever run. */
object JobValidation {
    /** The largest number of tasks of one job. */
    const val MAX_TASKS = 100_000
    private const val PREREQUISITES = "waitsOn"
    private val SHAPES = mapOf("array" to Shape.ARRAY, "daemon" to Shape.SERVICE)
    private val URGENCIES = mapOf(
        "prod" to Urgency.PRODUCTION,
        "high" to Urgency.HIGH,
        "normal" to Urgency.NORMAL,
        "best_effort" to Urgency.BEST_EFFORT,
    )

    /**
     * Returns the job id in the submission [body]. Throws [MalformedRequestException] if it is missing or invalid. The id is read on its
     * own, since a submission of a job that is already known is answered even if its other fields are invalid.
     */
    fun parseId(body: JsonObject): JobId =
        JobId.parse(JobFields(body).string("nameId")) ?: throw MalformedRequestException("nameId: not a job id")

    /** Returns the JSON object in [text]. Throws [MalformedRequestException] if [text] is not a JSON object. */
    fun parseObject(text: String): JsonObject {
        val element = try {
            parseJson(text)
        } catch (e: SerializationException) {
            throw MalformedRequestException("body: not JSON")
        }
        return element as? JsonObject ?: throw MalformedRequestException("body: not an object")
    }

    /** Returns the job in the submission [body]. Throws [MalformedRequestException] if a field is missing or invalid. */
    fun parse(body: JsonObject): JobSpec {
        val fields = JobFields(body)
        return JobSpec(
            id = parseId(body),
            jobClass = fields.string("jobclass"),
            team = TeamId(fields.string("owner")),
            shape = fields.choice("shape", SHAPES),
            urgency = fields.choice("urgency", URGENCIES),
            tasks = fields.count("pieces", MAX_TASKS),
            cpus = fields.amount("vcpus"),
            gpus = fields.amount("cards"),
            memoryGb = fields.amount("memGb"),
            image = ImageId(fields.string("bundle")),
            imageGb = fields.amount("sizeGb"),
            types = fields.strings("hulls")?.map { TypeId(it) },
            zone = fields.optionalZone("yard"),
            singleZone = fields.flag("together"),
            spreadAcrossZones = fields.flag("scatter"),
            spotAllowed = fields.flag("loaners"),
            estimateS = fields.amount("expectedS"),
            checkpointEveryS = fields.amount("markEveryS"),
            checkpointSaveS = fields.amount("markCostS"),
            deadlineS = fields.optionalAmount("dueS"),
            prerequisites = prerequisites(fields),
        )
    }

    private fun prerequisites(fields: JobFields): List<JobId> = fields.strings(PREREQUISITES).orEmpty()
        .map { JobId.parse(it) ?: throw MalformedRequestException("$PREREQUISITES: not a job id") }
        .distinct()

    /** Returns the reason why [job] can never run with the quotas of [teams] and the machine [types], or null if it can run. */
    fun explainNeverRuns(job: JobSpec, teams: Map<TeamId, TeamQuota>, types: Collection<MachineType>): String? {
        if (job.id in job.prerequisites) return "the job waits on itself"
        val team = teams[job.team] ?: return "unknown team ${job.team}"
        val fitting = types.filter { type ->
            (job.types == null || type.id in job.types) &&
                (job.zone == null || job.zone in type.zones) &&
                job.perTask.fitsWithin(type.capacity)
        }
        if (fitting.isEmpty()) return "a task fits no allowed machine type"
        val atOnce = if (job.shape == Shape.SERVICE) job.perTask * job.tasks else job.perTask
        if (!team.limitAllows(atOnce)) return "more than the limit of team ${job.team}"
        return null
    }
}
