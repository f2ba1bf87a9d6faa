package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.WireJson

/**
 * The stored form of the machine types: one value if they fit into one. Otherwise further values, the parts, hold the remaining types;
 * they are written before the first value, which gives their number and a digest of all types.
 */
object TypesForm {
    /**
     * Returns the writes that store [types], to be executed in this order. No value is larger than [limitBytes], unless a single type
     * is.
     */
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

    /** Returns the write that stores [types] in one value of any size. The first versions read no other form. */
    fun whole(types: MachineTypes) = Write.Put(Keys.TYPES, WireJson.encodeToJsonElement(TypesRecord(types.types)))

    /**
     * Returns the machine types that [store] holds, or null if there are none or if the stored parts belong to different lists, as while
     * another node writes them.
     * Throws [StoreException] if the state service fails, and [IllegalArgumentException] if the types cannot be decoded.
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

    /** Divides [types] in order into groups that fit into values of [limitBytes]. A type that is larger forms a group of its own. */
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
