package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A machine type with its current prices. It is stored in this form, so its serial names are part of the contract between versions.
 *
 * @property cacheGb room for images on the machine, in gigabytes
 * @property fetchGbPerS rate at which images are fetched
 * @property price for an hour, and [spotPrice] for an hour of a spot machine
 * @property bootS seconds that the cloud says a machine takes to boot
 */
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
) {
    val capacity: Resources get() = Resources(cpus, gpus, memoryGb)
}

/** The machine types that the cloud offers; stored in this form, see [MachineType]. */
@Serializable
data class MachineTypes(@SerialName("hulls") val types: List<MachineType>)

/** Request to the cloud for [count] machines. A repeated [id] rents nothing more. */
@Serializable
data class RentalRequest(
    @SerialName("charter") val id: RentalRequestId,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("number") val count: Int,
)

/** Names of machines: those that were rented, or those to delete. */
@Serializable
data class MachineNames(@SerialName("hosts") val machines: List<MachineId>)

/** State of a machine in the cloud's list. */
@Serializable
enum class ListedState {
    @SerialName("booting")
    BOOTING,

    @SerialName("running")
    RUNNING,

    @SerialName("failed")
    FAILED,
}

/** A machine in the cloud's list. */
@Serializable
data class ListedMachine(
    @SerialName("nameId") val id: MachineId,
    @SerialName("address") val address: String? = null,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("status") val state: ListedState,
    @SerialName("ageS") val ageS: Double = 0.0,
)

/** A page of the cloud's list. */
@Serializable
data class MachinePage(@SerialName("hosts") val machines: List<ListedMachine>, @SerialName("truncated") val more: Boolean = false)
