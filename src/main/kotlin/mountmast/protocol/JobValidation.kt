package mountmast.protocol

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A body that breaks the protocol; the message names the field. */
class Malformed(message: String) : Exception(message)

/** Reads a submission and says whether it can ever run. */
object JobValidation {
    const val MAX_TASKS = 100_000
    private const val MAX_AMOUNT = 1e9
    private const val LONGEST_NAME = 200
    private const val PREREQUISITES = "waitsOn"

    /** The id in a submission, read before anything else: a known job is answered whatever the rest says. */
    fun idOf(body: JsonObject): JobId = JobId.parse(string(body, "nameId")) ?: throw Malformed("nameId: not a job id")

    fun parseObject(text: String): JsonObject {
        val element = try {
            WireJson.parseToJsonElement(text)
        } catch (e: SerializationException) {
            throw Malformed("body: not JSON")
        }
        return element as? JsonObject ?: throw Malformed("body: not an object")
    }

    /** Reads a job; throws [Malformed] where a field is missing or invalid. */
    fun parse(body: JsonObject): JobSpec = JobSpec(
        id = idOf(body),
        jobClass = string(body, "jobclass"),
        team = TeamId(string(body, "owner")),
        shape = choice(body, "shape", mapOf("array" to Shape.ARRAY, "daemon" to Shape.SERVICE)),
        urgency = choice(
            body,
            "urgency",
            mapOf(
                "prod" to Urgency.PRODUCTION,
                "high" to Urgency.HIGH,
                "normal" to Urgency.NORMAL,
                "best_effort" to Urgency.BEST_EFFORT,
            ),
        ),
        tasks = count(body, "pieces"),
        cpus = amount(body, "vcpus"),
        gpus = amount(body, "cards"),
        memoryGb = amount(body, "memGb"),
        image = ImageId(string(body, "bundle")),
        imageGb = amount(body, "sizeGb"),
        types = strings(body, "hulls")?.map { TypeId(it) },
        zone = optional(body, "yard")?.let { zone(string(it, "yard")) },
        singleZone = flag(body, "together"),
        spreadAcrossZones = flag(body, "scatter"),
        spotAllowed = flag(body, "loaners"),
        estimateS = amount(body, "expectedS"),
        checkpointEveryS = amount(body, "markEveryS"),
        checkpointSaveS = amount(body, "markCostS"),
        deadlineS = optional(body, "dueS")?.let { amount(it, "dueS") },
        prerequisites = strings(body, PREREQUISITES).orEmpty()
            .map { JobId.parse(it) ?: throw Malformed("$PREREQUISITES: not a job id") }
            .distinct(),
    )

    /** Why [job] can never run, or null where it can. */
    fun neverRuns(job: JobSpec, teams: Map<TeamId, TeamQuota>, types: Collection<MachineType>): String? {
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

    private fun optional(body: JsonObject, name: String): JsonElement? = body[name]?.takeUnless { it is JsonNull }

    private fun required(body: JsonObject, name: String): JsonElement = optional(body, name) ?: throw Malformed("$name: missing")

    private fun string(body: JsonObject, name: String) = string(required(body, name), name)

    private fun string(element: JsonElement, name: String): String {
        val value = element as? JsonPrimitive
        if (value == null || !value.isString) throw Malformed("$name: not a string")
        if (value.content.isEmpty() || value.content.length > LONGEST_NAME) throw Malformed("$name: empty or too long")
        return value.content
    }

    private fun zone(name: String): Zone = try {
        Zone(name)
    } catch (e: IllegalArgumentException) {
        throw Malformed("yard: not a zone's name")
    }

    private fun amount(body: JsonObject, name: String) = amount(required(body, name), name)

    private fun amount(element: JsonElement, name: String): Double {
        val value = number(element, name).content.toDoubleOrNull() ?: throw Malformed("$name: not a number")
        if (!value.isFinite() || value < 0 || value > MAX_AMOUNT) throw Malformed("$name: out of range")
        return value
    }

    private fun count(body: JsonObject, name: String): Int {
        val value = number(required(body, name), name).content.toIntOrNull() ?: throw Malformed("$name: not a count")
        if (value !in 1..MAX_TASKS) throw Malformed("$name: out of range")
        return value
    }

    private fun number(element: JsonElement, name: String): JsonPrimitive {
        val value = element as? JsonPrimitive
        if (value == null || value.isString || !NUMBER.matches(value.content)) throw Malformed("$name: not a number")
        return value
    }

    private fun flag(body: JsonObject, name: String): Boolean {
        val value = required(body, name) as? JsonPrimitive
        if (value == null || value.isString) throw Malformed("$name: not true or false")
        return value.content.toBooleanStrictOrNull() ?: throw Malformed("$name: not true or false")
    }

    private fun strings(body: JsonObject, name: String): List<String>? {
        val list = optional(body, name) ?: return null
        if (list !is JsonArray) throw Malformed("$name: not a list")
        return list.map { string(it, name) }
    }

    private fun <T> choice(body: JsonObject, name: String, values: Map<String, T>): T =
        values[string(body, name)] ?: throw Malformed("$name: unknown value")

    private val NUMBER = Regex("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
}
