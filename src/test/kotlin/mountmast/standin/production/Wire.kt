package mountmast.standin.production

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/*
 * Frozen: copied from the version in production (`production` in deploy/service.toml), so that tests can show what its processes
 * read of what later versions write. Not to be edited or renamed together with the classes of the main sources.
 */

/** How every JSON body is read and written: unknown fields are ignored, nulls are left out. */
val WireJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = false
}

/** Shape of a job. */
@Serializable
enum class Shape {
    /** Independent tasks, each of which runs to completion. */
    @SerialName("array")
    ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon")
    SERVICE,
}

/** Urgency of a job, most urgent first. */
@Serializable
enum class Urgency {
    @SerialName("prod")
    PRODUCTION,

    @SerialName("high")
    HIGH,

    @SerialName("normal")
    NORMAL,

    @SerialName("best_effort")
    BEST_EFFORT,
}

/** A job as its user submitted it. */
@Serializable
data class JobSpec(
    @SerialName("nameId") val id: JobId,
    @SerialName("jobclass") val jobClass: String,
    @SerialName("owner") val team: TeamId,
    @SerialName("shape") val shape: Shape,
    @SerialName("urgency") val urgency: Urgency,
    @SerialName("pieces") val tasks: Int,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double,
    @SerialName("memGb") val memoryGb: Double,
    @SerialName("bundle") val image: ImageId,
    @SerialName("sizeGb") val imageGb: Double,
    @SerialName("hulls") val types: List<TypeId>? = null,
    @SerialName("yard") val zone: Zone? = null,
    @SerialName("together") val oneZone: Boolean,
    @SerialName("scatter") val spread: Boolean,
    @SerialName("loaners") val spotAllowed: Boolean,
    @SerialName("expectedS") val estimateS: Double,
    @SerialName("markEveryS") val checkpointEveryS: Double,
    @SerialName("markCostS") val saveS: Double,
    @SerialName("dueS") val deadlineS: Double? = null,
)

/** State of a job as users see it. */
@Serializable
enum class JobStatus {
    @SerialName("pending")
    PENDING,

    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("cancelled")
    CANCELLED,
}

/** A machine type with the current prices. */
@Serializable
data class MachineType(
    @SerialName("sku") val id: TypeId,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    @SerialName("memGb") val memoryGb: Double,
    @SerialName("localGb") val cacheGb: Double,
    @SerialName("fetchGbPerS") val fetchGbPerS: Double,
    @SerialName("hourly") val price: Double,
    @SerialName("lowPrice") val spotPrice: Double,
    @SerialName("readyS") val bootS: Double,
    @SerialName("yards") val zones: List<Zone>,
)

/** The machine types on offer. */
@Serializable
data class MachineTypes(@SerialName("hulls") val types: List<MachineType>)
