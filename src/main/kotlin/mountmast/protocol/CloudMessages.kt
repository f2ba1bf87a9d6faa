package mountmast.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A machine type with its current prices, as the cloud lists it. The state service stores it in this form, so its serial names are
 * part of the contract between versions.
 *
 * @property cpus virtual processors of a machine; [gpus] and [memoryGb] likewise, memory in gigabytes
 * @property cacheGb size of a machine's image cache in gigabytes
 * @property fetchGbPerS rate at which a machine fetches images, in gigabytes per second
 * @property price price of an hour of an on-demand machine; [spotPrice] is that of an hour of a spot machine
 * @property bootS seconds that a machine takes to boot, as the cloud states it
 * @property zones the zones in which the cloud offers the type
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
    /** All resources of an empty machine of this type. */
    val capacity: Resources get() = Resources(cpus, gpus, memoryGb)
}

/** The machine types that the cloud offers. The state service stores them in this form, see [MachineType]. */
@Serializable
data class MachineTypes(@SerialName("hulls") val types: List<MachineType>)

/** Request to the cloud to rent [count] machines. The cloud rents nothing more for an [id] that it has served before. */
@Serializable
data class RentalRequest(
    @SerialName("charter") val id: RentalRequestId,
    @SerialName("hull") val type: TypeId,
    @SerialName("yard") val zone: Zone,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("number") val count: Int,
)

/** Names of machines: in the cloud's answer to a [RentalRequest] those rented, in a request for deletion those to delete. */
@Serializable
data class MachineNames(@SerialName("hosts") val machines: List<MachineId>)

/** State of a machine as the cloud's list of rented machines gives it. */
@Serializable
enum class ListedState {
    @SerialName("booting")
    BOOTING,

    @SerialName("running")
    RUNNING,

    @SerialName("failed")
    FAILED,
}

/** A machine in the cloud's list of rented machines. */
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

/** A page of the cloud's list of rented machines; [more] says whether further pages follow. */
@Serializable
data class MachinePage(@SerialName("hosts") val machines: List<ListedMachine>, @SerialName("truncated") val more: Boolean = false)
