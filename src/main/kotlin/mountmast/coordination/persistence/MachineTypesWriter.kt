package mountmast.coordination.persistence

import mountmast.protocol.MachineTypes
import mountmast.protocol.ModRevision
import mountmast.storage.TypesForm
import mountmast.storage.Write

/** Adds the machine types to batches until the store holds all of them. Guarded by the lock of [PersistenceContext]. */
internal class MachineTypesWriter(private val context: PersistenceContext) : BatchContributor {
    /** Puts of [types] that are not committed yet; the value that tells how many other parts there are comes last. */
    private var remainingPuts: List<Write.Put> = emptyList()
    private var types: MachineTypes? = null
    private var limits: WriteLimits? = null

    override fun contribute(batch: WriteBatch, options: BatchOptions) {
        val pendingTypes = context.pendingMachineTypes ?: return
        val limits = options.limits
        if (types !== pendingTypes || this.limits != limits) {
            types = pendingTypes
            this.limits = limits
            remainingPuts =
                if (options.maySplitTypes) TypesForm.writes(pendingTypes, limits.valueBytes) else listOf(TypesForm.whole(pendingTypes))
        }
        for (put in remainingPuts) {
            if (batch.remainingOps <= 0) return
            batch.addMachineTypes(pendingTypes, put)
        }
    }

    override fun onCommitted(batch: WriteBatch, modRevision: ModRevision) {
        if (batch.machineTypes == null || batch.machineTypes !== types) return
        remainingPuts = remainingPuts.drop(batch.machineTypesWriteCount)
        if (remainingPuts.isNotEmpty()) return
        if (context.pendingMachineTypes === types) context.pendingMachineTypes = null
        types = null
    }
}
