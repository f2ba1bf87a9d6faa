package mountmast.knownred

import org.junit.jupiter.api.Disabled
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/** A test method: [className] is fully qualified, [methodName] is the function's name as written in backticks. */
data class TestName(val className: String, val methodName: String) {
    override fun toString() = "$className#$methodName"

    /**
     * Whether `mvn verify` runs a test of this name: a function with `@Test`, not disabled, in a top-level class whose name
     * ends with `Test`, since Surefire looks for no others.
     */
    fun isRunByBuild(): Boolean {
        val testClass = try {
            Class.forName(className, false, TestName::class.java.classLoader)
        } catch (e: ClassNotFoundException) {
            return false
        }
        val method = testClass.declaredMethods.firstOrNull { it.name == methodName } ?: return false
        val disabled = testClass.isAnnotationPresent(Disabled::class.java) || method.isAnnotationPresent(Disabled::class.java)
        return method.isAnnotationPresent(Test::class.java) && !disabled && !testClass.isMemberClass && className.endsWith("Test")
    }
}

/** A test that fails for a known fault. */
data class KnownRed(val test: TestName, val cause: String, val issue: String) {
    override fun toString() = "$test: $cause (issue $issue)"
}

/**
 * The tests that may fail without failing the build, from lines of the form `Class#method | cause | issue`.
 * A list with [problems] is invalid: no failure is accepted, and the build fails.
 */
class KnownRedList(val entries: List<KnownRed>, val problems: List<String>) {
    fun find(test: TestName): KnownRed? = entries.firstOrNull { it.test == test }

    companion object {
        const val MAX_ENTRIES = 3
        private const val COMMENT_PREFIX = "#"
        val PROJECT_FILE: Path = Path.of("KNOWN-RED.txt")

        /** Reads the list in [file]; it is empty if the file does not exist. */
        fun read(file: Path, isTest: (TestName) -> Boolean = TestName::isRunByBuild): KnownRedList =
            parse(if (Files.exists(file)) Files.readAllLines(file) else emptyList(), isTest)

        fun parse(lines: List<String>, isTest: (TestName) -> Boolean = TestName::isRunByBuild): KnownRedList {
            val entryLines = lines.filter { it.isNotBlank() && !it.startsWith(COMMENT_PREFIX) }
            val entries = entryLines.mapNotNull(::parseLine)
            val problems = entryLines.filter { parseLine(it) == null }.map { "not of the form 'Class#method | cause | issue': $it" } +
                entries.filterNot { isTest(it.test) }.map { "no such test: ${it.test}" } +
                entries.groupBy { it.test }.filterValues { it.size > 1 }.keys.map { "listed more than once: $it" } +
                listOf("${entryLines.size} tests are listed, at most $MAX_ENTRIES may be").filter { entryLines.size > MAX_ENTRIES }
            return KnownRedList(entries, problems)
        }

        private fun parseLine(line: String): KnownRed? {
            val fields = line.split('|').map { it.trim() }
            val name = fields.first().split('#')
            if (fields.size != 3 || name.size != 2 || (fields + name).any { it.isEmpty() }) return null
            return KnownRed(TestName(name[0], name[1]), fields[1], fields[2])
        }
    }
}
