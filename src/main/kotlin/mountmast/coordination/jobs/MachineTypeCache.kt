package mountmast.coordination.jobs

import mountmast.protocol.MachineType
import mountmast.storage.StateStore
import mountmast.storage.TypesForm

/** The machine types that the leader has stored, as of the last refresh. Thread-safe. */
internal class MachineTypeCache(private val store: StateStore) {
    /** Empty until the first refresh that found any. */
    @Volatile
    var types: List<MachineType> = emptyList()
        private set

    /**
     * Reads the machine types; keeps those of before if there are none, or if they are just being changed. Throws `StoreException`
     * if the state service fails, and [IllegalArgumentException] if they cannot be decoded.
     */
    fun refresh() {
        types = TypesForm.read(store)?.types ?: return
    }
}
