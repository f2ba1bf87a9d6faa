package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.WireJson

/** How the machine types are kept: in one value where they fit, else in parts that are written before the first value. */
object TypesForm {
    /** What to write, in this order, so that no value is larger than [limitBytes]. */
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

    /** All in one value, however large: the only form that the first versions read. */
    fun whole(types: MachineTypes) = Write.Put(Keys.TYPES, WireJson.encodeToJsonElement(TypesRecord(types.types)))

    /**
     * The machine types that [store] holds, or null where there are none, or where they are just being changed.
     * Throws [IllegalArgumentException] where they cannot be read.
     */
    fun read(store: StateStore): MachineTypes? {
        val head = store.get(Keys.TYPES)?.let { WireJson.decodeFromJsonElement<TypesRecord>(it.value) } ?: return null
        val types = ArrayList(head.types)
        for (part in 1..head.parts) {
            val entry = store.get(Keys.typesPart(part)) ?: return null
            types += WireJson.decodeFromJsonElement<MachineTypes>(entry.value).types
        }
        val belongTogether = head.digest == null || head.digest == digest(types)
        return MachineTypes(types).takeIf { belongTogether }
    }

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
