package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.WireJson

/** The stored form of the machine types: one value if they fit, else parts that are written before the first value, which names them. */
object TypesForm {
    /** The writes that store [types], to be made in this order, with no value larger than [limitBytes]. */
    fun writes(types: MachineTypes, limitBytes: Int): List<Write.Put> {
        val whole = whole(types)
        if (jsonSize(whole.value) <= limitBytes) return listOf(whole)
        val groups = groups(types.types, limitBytes)
        val parts = groups.drop(1).mapIndexed { index, group ->
            Write.Put(Keys.typesPart(index + 1), WireJson.encodeToJsonElement(MachineTypes(group)))
        }
        val head = TypesRecord(groups.first(), parts.size, digest(types.types))
        return parts + Write.Put(Keys.TYPES, WireJson.encodeToJsonElement(head))
    }

    /** The write that stores [types] in one value, however large: the only form that the first versions read. */
    fun whole(types: MachineTypes) = Write.Put(Keys.TYPES, WireJson.encodeToJsonElement(TypesRecord(types.types)))

    /**
     * The machine types that [store] holds, or null if there are none, or if they are just being changed.
     * Throws [StoreException] if the state service fails, and [IllegalArgumentException] if they cannot be decoded.
     */
    fun read(store: StateStore): MachineTypes? {
        val head = store.get(Keys.TYPES)?.let { WireJson.decodeFromJsonElement<TypesRecord>(it.value) } ?: return null
        val types = ArrayList(head.types)
        for (part in 1..head.parts) {
            val entry = store.get(Keys.typesPart(part)) ?: return null
            types += WireJson.decodeFromJsonElement<MachineTypes>(entry.value).types
        }
        val isConsistent = head.digest == null || head.digest == digest(types)
        return MachineTypes(types).takeIf { isConsistent }
    }

    /** Divides [types] in their order; a type larger than [limitBytes] is a group of its own. */
    private fun groups(types: List<MachineType>, limitBytes: Int): List<List<MachineType>> {
        val groups = ArrayList<ArrayList<MachineType>>()
        var bytes = 0
        for (type in types) {
            val size = jsonSize(WireJson.encodeToJsonElement(type)) + SEPARATOR_BYTES
            if (groups.isEmpty() || bytes + size > limitBytes - TextCodec.ENVELOPE_BYTES) {
                groups += ArrayList<MachineType>()
                bytes = 0
            }
            groups.last() += type
            bytes += size
        }
        return groups
    }

    private fun digest(types: List<MachineType>): Int = types.joinToString(" ") { it.id.text }.hashCode()

    private const val SEPARATOR_BYTES = 2
}
