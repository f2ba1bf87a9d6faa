package mountmast

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

class LayersTest {
    /** Each layer may use those before it only. */
    private val layers = listOf("protocol", "transport", "storage", "coordination")

    @Test
    fun `layers depend one way only`() {
        val wrong = ArrayList<String>()
        for ((rank, layer) in layers.withIndex()) {
            val files = File("src/main/kotlin/mountmast/$layer").listFiles { file -> file.extension == "kt" }!!
            assertTrue(files.isNotEmpty(), layer)
            for (file in files) {
                for (line in file.readLines()) {
                    val used = Regex("mountmast\\.([a-z]+)\\.").find(line)?.groupValues?.get(1) ?: continue
                    if (line.startsWith("import") && layers.indexOf(used) > rank) wrong += "${file.name}: $line"
                }
            }
        }
        assertEquals(emptyList<String>(), wrong)
    }
}
