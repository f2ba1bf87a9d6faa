package mountmast.knownred

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Assumptions.assumeTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtendWith
import org.junit.jupiter.api.extension.Extension
import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.api.io.TempDir
import org.junit.platform.engine.TestExecutionResult
import org.junit.platform.engine.discovery.DiscoverySelectors.selectClass
import org.junit.platform.testkit.engine.EngineExecutionResults
import org.junit.platform.testkit.engine.EngineTestKit
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import java.util.ServiceLoader

@ExtendWith(KnownRedTest.SettingReader::class)
class KnownRedTest {
    /** Sample tests. The build does not run them, since this is not a top-level class. */
    class Samples {
        @Test
        fun `fails on purpose`() {
            error("on purpose")
        }

        @Test
        fun passes() = Unit

        @Test
        fun `is aborted`() = assumeTrue(false)

        companion object {
            var list = KnownRedList(emptyList(), emptyList())

            @JvmField
            @RegisterExtension
            val extension = KnownRedExtension { list }
        }
    }

    private var printed = ""

    private fun runWith(vararg lines: String, isTest: (TestName) -> Boolean = { true }): EngineExecutionResults {
        Samples.list = KnownRedList.parse(lines.toList(), isTest)
        val standardOutput = System.out
        val capture = ByteArrayOutputStream()
        System.setOut(PrintStream(capture, true))
        try {
            return EngineTestKit.engine("junit-jupiter")
                .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "false")
                .selectors(selectClass(Samples::class.java))
                .execute()
        } finally {
            System.setOut(standardOutput)
            printed = capture.toString()
        }
    }

    private fun EngineExecutionResults.outcomes(): Map<String, String> = testEvents().finished().list().associate { event ->
        event.testDescriptor.displayName.removeSuffix("()") to
            event.getRequiredPayload(TestExecutionResult::class.java).status.name.lowercase()
    }

    private fun EngineExecutionResults.failures(): List<String> = allEvents().failed().list().map { event ->
        event.getRequiredPayload(TestExecutionResult::class.java).throwable.get().message.orEmpty()
    }

    private fun lineFor(method: String) = "${Samples::class.java.name}#$method | a cause | 7"

    @Test
    fun `a listed test that fails is passed over and printed, no other is`() {
        assertEquals(
            mapOf("fails on purpose" to "failed", "passes" to "successful", "is aborted" to "aborted"),
            runWith().outcomes(),
        )
        assertEquals("", printed)
        assertEquals(
            mapOf("fails on purpose" to "aborted", "passes" to "successful", "is aborted" to "aborted"),
            runWith(lineFor("fails on purpose")).outcomes(),
        )
        assertTrue("fails on purpose: a cause (issue 7): java.lang.IllegalStateException: on purpose" in printed, printed)
    }

    @Test
    fun `a listed test that passes or does not run fails`() {
        val passing = runWith(lineFor("passes"))
        assertEquals("failed", passing.outcomes()["passes"])
        assertTrue(passing.failures().any { it.startsWith("passes, but is listed") }, "${passing.failures()}")
        val aborted = runWith(lineFor("is aborted"), lineFor("fails on purpose"))
        assertEquals("failed", aborted.outcomes()["is aborted"])
    }

    @Test
    fun `a fourth line fails everything`() {
        val three = listOf("fails on purpose", "a", "b").map(::lineFor)
        assertEquals("aborted", runWith(*three.toTypedArray()).outcomes()["fails on purpose"])
        val four = runWith(*(three + lineFor("c")).toTypedArray())
        assertEquals(emptyMap<String, String>(), four.outcomes())
        assertEquals(listOf("KNOWN-RED.txt: 4 tests are listed, at most 3 may be"), four.failures())
    }

    @Test
    fun `a name that matches no test fails everything`() {
        val results = runWith(lineFor("fails on purpose"), isTest = { false })
        assertEquals(emptyMap<String, String>(), results.outcomes())
        assertEquals(listOf("KNOWN-RED.txt: no such test: ${Samples::class.java.name}#fails on purpose"), results.failures())
    }

    @Test
    fun `only what the build runs counts as a test`() {
        val own = KnownRedTest::class.java.name
        assertTrue(TestName(own, "only what the build runs counts as a test").isRunByBuild())
        assertTrue(!TestName(own, "lineFor").isRunByBuild(), "not a test")
        assertTrue(!TestName(own, "no such function").isRunByBuild())
        assertTrue(!TestName("mountmast.NoSuchTest", "passes").isRunByBuild())
        assertTrue(!TestName(Samples::class.java.name, "passes").isRunByBuild(), "a nested class")
    }

    @Test
    fun `lines without a cause or an issue, and the same test twice, are problems`() {
        val malformed = listOf("A#b", "A#b | cause", "A#b | cause |", "b | cause | 1", "A#b | cause | 1 | more")
        for (line in malformed) assertEquals(1, KnownRedList.parse(listOf(line)) { true }.problems.size, line)
        assertEquals(listOf("listed more than once: A#b"), KnownRedList.parse(List(2) { "A#b | cause | 1" }) { true }.problems)
    }

    @Test
    fun `a comment lists nothing and is no problem`() {
        val list = KnownRedList.parse(listOf("# none at present", "", "A#b | cause | 1")) { true }
        assertEquals(1, list.entries.size)
        assertEquals(emptyList<String>(), list.problems)
    }

    @Test
    fun `no file lists nothing, and a file its lines`(@TempDir directory: Path) {
        val file = directory.resolve("KNOWN-RED.txt")
        assertEquals(emptyList<Any>(), KnownRedList.read(file).let { it.entries + it.problems })
        Files.writeString(file, "A#b c | a cause | 7\n\n")
        val read = KnownRedList.read(file) { true }
        assertEquals(listOf(KnownRed(TestName("A", "b c"), "a cause", "7")), read.entries)
        assertEquals(emptyList<String>(), read.problems)
    }

    @Test
    fun `every test class runs with the extension`() {
        assertTrue(ServiceLoader.load(Extension::class.java).any { it is KnownRedExtension })
        assertTrue(autodetection == "true", "automatic registration is $autodetection")
    }

    /** Reads the value that the setting for automatic registration of extensions has in this test run. */
    class SettingReader : BeforeAllCallback {
        override fun beforeAll(context: ExtensionContext) {
            autodetection = context.getConfigurationParameter("junit.jupiter.extensions.autodetection.enabled").orElse(null)
        }
    }

    private companion object {
        var autodetection: String? = null
    }
}
