package mountmast.coordination.persistence

import mountmast.protocol.MachineTypes
import mountmast.storage.TypesForm
import mountmast.storage.Write

/** Writes the machine types where the store does not hold them yet. */
class TypesWriter(private val context: PersistenceContext) {
    /** Values still to be written for [types], the one that names the others last. */
    private var writes: List<Write.Put> = emptyList()
    private var types: MachineTypes? = null
    private var limits: WriteLimits? = null

    /** [inParts] tells whether types that do not fit into one value may be split. */
    fun addTo(batch: WriteBatch, limits: WriteLimits, inParts: Boolean) {
        val pending = context.pendingTypes ?: return
        if (types !== pending || this.limits != limits) {
            types = pending
            this.limits = limits
            writes = if (inParts) TypesForm.writes(pending, limits.valueBytes) else listOf(TypesForm.whole(pending))
        }
        batch.types = pending
        for (write in writes) {
            if (batch.room <= 0) return
            batch.add(write)
            batch.typesWrites++
        }
    }

    /** [batch] was carried out. */
    fun committed(batch: WriteBatch) {
        if (batch.types == null || batch.types !== types) return
        writes = writes.drop(batch.typesWrites)
        if (writes.isNotEmpty()) return
        if (context.pendingTypes === types) context.pendingTypes = null
        types = null
    }
}
