package mountmast.storage

import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.MachineType
import mountmast.protocol.MachineTypes
import mountmast.protocol.StateLimits
import mountmast.protocol.TypeId
import mountmast.protocol.WireJson
import mountmast.protocol.Zone
import mountmast.standin.FallingLimits
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class TypesFormTest {
    private val time = VirtualTime()
    private val limits = FallingLimits(StateLimits(100.0, 100.0, 1.0, 64))
    private val store = SimulatedStateStore(time, limits = limits).Connection(Random(1), ProcessFaults(time))

    private fun types(count: Int) = MachineTypes(
        List(count) {
            MachineType(TypeId("type-$it"), 32.0, 0.0, 256.0, 50.0, 0.3, 2.28, 0.82, 50.0, listOf(Zone("rz-ost"), Zone("rz-linz")))
        },
    )

    private fun write(writes: List<Write>) = store.commit(Transaction(emptyList(), writes))

    @Test
    fun `types that fit are stored in one value, which the first versions read`() {
        val written = TypesForm.writes(types(3), 1024)
        assertEquals(listOf("types"), written.map { it.key })
        assertEquals(types(3), WireJson.decodeFromJsonElement<MachineTypes>(written.single().value))
        write(written)
        assertEquals(types(3), TypesForm.read(store))
    }

    @Test
    fun `types that do not fit are stored in parts that do, and all of them are read back`() {
        val written = TypesForm.writes(types(40), 1024)
        assertTrue(written.size > 5)
        assertEquals("types", written.last().key)
        assertTrue(written.all { jsonSize(it.value) <= 1024 })
        write(written)
        assertEquals(types(40), TypesForm.read(store))
    }

    @Test
    fun `parts of two different lists are not read as one`() {
        write(TypesForm.writes(types(40), 1024))
        write(TypesForm.writes(MachineTypes(types(80).types.drop(20)), 1024).take(2))
        assertNull(TypesForm.read(store))
        write(TypesForm.writes(MachineTypes(types(80).types.drop(20)), 1024))
        assertEquals(60, TypesForm.read(store)?.types?.size)
    }

    @Test
    fun `a store without types gives null`() = assertNull(TypesForm.read(store))
}
