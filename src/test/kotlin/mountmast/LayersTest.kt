package mountmast

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Which package of the service may use which, as read from the sources. */
class LayersTest {
    private val root = File("src/main/kotlin/mountmast")

    /** Each layer may use those before it only. */
    private val layers = listOf("protocol", "transport", "storage", "coordination")

    /** The packages of the layer `coordination`, each with those of the same layer that it may use. */
    private val coordination = mapOf(
        "state" to emptySet(),
        "election" to emptySet(),
        "membership" to emptySet(),
        "scheduling" to emptySet(),
        "jobs" to emptySet(),
        "persistence" to setOf("state"),
        "workers" to setOf("state", "election", "membership"),
        "autoscaling" to setOf("state", "election", "scheduling"),
        "controller" to setOf(
            "state",
            "election",
            "membership",
            "scheduling",
            "jobs",
            "persistence",
            "workers",
            "autoscaling",
        ),
    )

    private fun sources(folder: File): List<File> = folder.walkTopDown().filter { it.extension == "kt" }.toList()

    /** Every name of a package below `mountmast` in the code of [file], as its parts. */
    private fun usedPackages(file: File): List<List<String>> = file.readLines()
        .filterNot { it.startsWith("package ") }
        .flatMap { line -> Regex("""\bmountmast((?:\.[a-z]+)+)\.[A-Za-z]""").findAll(line.substringBefore('"')) }
        .map { it.groupValues[1].removePrefix(".").split('.') }

    @Test
    fun `layers depend one way only`() {
        val wrong = ArrayList<String>()
        for ((rank, layer) in layers.withIndex()) {
            val files = sources(root.resolve(layer))
            assertTrue(files.isNotEmpty(), layer)
            for (file in files) {
                for (used in usedPackages(file)) if (layers.indexOf(used.first()) > rank) wrong += "$file: $used"
            }
        }
        assertEquals(emptyList<String>(), wrong)
    }

    @Test
    fun `the packages of coordination use only those that the table allows`() {
        val wrong = ArrayList<String>()
        for ((name, allowed) in coordination) {
            val files = sources(root.resolve("coordination/$name"))
            assertTrue(files.isNotEmpty(), name)
            for (file in files) {
                val used = usedPackages(file).filter { it.first() == "coordination" }.map { it.getOrElse(1) { "coordination itself" } }
                for (other in used) if (other != name && other !in allowed) wrong += "$file: $other"
            }
        }
        assertEquals(emptyList<String>(), wrong)
    }

    @Test
    fun `every source file is in the folder of its package, and the table names every package`() {
        val wrong = ArrayList<String>()
        for (file in sources(root)) {
            val folder = file.parentFile.relativeTo(root.parentFile).invariantSeparatorsPath
            if (file.useLines { lines -> lines.first { it.startsWith("package ") } } !=
                "package ${folder.replace('/', '.')}"
            ) {
                wrong += "$file"
            }
        }
        assertEquals(emptyList<String>(), wrong)
        val folders = sources(root.resolve("coordination")).map { it.parentFile.relativeTo(root.resolve("coordination")).path }
        assertEquals(coordination.keys, folders.toSet())
    }
}
