package mountmast.contract

import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.fail
import java.io.File

/**
 * Text that users, workers or operators see, compared with the file [name] under `src/test/resources/current`. The observed text is
 * written to `target/contract` for comparison by hand; no tool copies it into the resources.
 */
internal class TextFixture(private val name: String) {
    private val observed = ArrayList<String>()

    /** Adds one line of [columns]; line breaks inside are shown as `\n`. */
    fun addLine(vararg columns: Any) {
        observed += columns.joinToString(" | ") { it.toString().replace("\r", "").replace("\n", "\\n") }
    }

    /** Adds the lines of [text] without trailing whitespace. */
    fun addText(text: String) {
        observed += text.trimEnd('\n').split('\n').map { it.trimEnd() }
    }

    /** Fails if any line differs from the file, and shows the first differences with their line numbers. */
    fun assertUnchanged() {
        File("target/contract").apply { mkdirs() }.resolve(name).writeText(observed.joinToString("\n", postfix = "\n"))
        val resource = javaClass.getResource("/current/$name")
        assertNotNull(resource, "current/$name is missing")
        val expected = resource!!.readText().removeSuffix("\n").split('\n')
        val differences = (0 until maxOf(expected.size, observed.size)).filter { expected.getOrNull(it) != observed.getOrNull(it) }
        if (differences.isEmpty()) return
        val shown = differences.take(MAX_SHOWN_DIFFERENCES).joinToString("\n") { index ->
            "$name line ${index + 1}\n  expected: ${expected.getOrNull(index)}\n  observed: ${observed.getOrNull(index)}"
        }
        fail<Unit>("${differences.size} lines differ\n$shown")
    }

    private companion object {
        const val MAX_SHOWN_DIFFERENCES = 5
    }
}
