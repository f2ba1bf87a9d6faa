package mountmast.coordination.persistence

import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.storage.TypesForm
import mountmast.storage.Write

/** Writes the machine types until the store has them. Guarded by the lock of [PersistenceContext]. */
internal class TypesWriter(private val context: PersistenceContext) : BatchContributor {
    /** Values still to be written for [types], the one that names the others last. */
    private var remaining: List<Write.Put> = emptyList()
    private var types: MachineTypes? = null
    private var limits: WriteLimits? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val pending = context.pendingTypes ?: return
        val limits = options.limits
        if (types !== pending || this.limits != limits) {
            types = pending
            this.limits = limits
            remaining = if (options.maySplitTypes) TypesForm.writes(pending, limits.valueBytes) else listOf(TypesForm.whole(pending))
        }
        for (value in remaining) {
            if (batch.remainingOps <= 0) return
            batch.addMachineTypes(pending, value)
        }
    }

    override fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        if (batch.machineTypes == null || batch.machineTypes !== types) return
        remaining = remaining.drop(batch.machineTypesWriteCount)
        if (remaining.isNotEmpty()) return
        if (context.pendingTypes === types) context.pendingTypes = null
        types = null
    }
}
