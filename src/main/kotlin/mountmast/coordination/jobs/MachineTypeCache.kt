package mountmast.coordination.jobs

import mountmast.protocol.MachineType
import mountmast.storage.StateStore
import mountmast.storage.TypesForm

/** Caches the machine types that the leader has stored, as of the last successful refresh. Thread-safe. */
internal class MachineTypeCache(private val store: StateStore) {
    /** The cached machine types; empty until a refresh has found some. */
    @Volatile
    var types: List<MachineType> = emptyList()
        private set

    /**
     * Reads the machine types from the state service. Keeps the cached ones if none are stored, or if the stored parts do not belong
     * together because the leader is replacing them. Throws `StoreException` if a request to the state service fails, and
     * [IllegalArgumentException] if the machine types cannot be decoded.
     */
    fun refresh() {
        types = TypesForm.read(store)?.types ?: return
    }
}
