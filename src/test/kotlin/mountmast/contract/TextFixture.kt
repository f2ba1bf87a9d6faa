package mountmast.contract

import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.fail
import java.io.File

/**
 * Text that users, workers or operators see, as the file of this [name] under `src/test/resources/current` holds it. What was
 * observed is left under `target/contract`, so that it can be read beside the file; nothing takes it over by itself.
 */
internal class TextFixture(private val name: String) {
    private val observed = ArrayList<String>()

    /** Adds one line of [columns]; line breaks inside are shown as `\n`. */
    fun line(vararg columns: Any) {
        observed += columns.joinToString(" | ") { it.toString().replace("\r", "").replace("\n", "\\n") }
    }

    /** Adds lines as they are. */
    fun text(text: String) {
        observed += text.trimEnd('\n').split('\n').map { it.trimEnd() }
    }

    /** Fails with the first lines that differ, by their number in the file. */
    fun assertUnchanged() {
        File("target/contract").apply { mkdirs() }.resolve(name).writeText(observed.joinToString("\n", postfix = "\n"))
        val resource = javaClass.getResource("/current/$name")
        assertNotNull(resource, "current/$name is missing")
        val expected = resource!!.readText().removeSuffix("\n").split('\n')
        val differences = (0 until maxOf(expected.size, observed.size)).filter { expected.getOrNull(it) != observed.getOrNull(it) }
        if (differences.isEmpty()) return
        val shown = differences.take(SHOWN).joinToString("\n") { index ->
            "$name line ${index + 1}\n  expected: ${expected.getOrNull(index)}\n  observed: ${observed.getOrNull(index)}"
        }
        fail<Unit>("${differences.size} lines differ\n$shown")
    }

    private companion object {
        const val SHOWN = 5
    }
}
