package mountmast

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Checks in the source files which packages of the service use which others. */
class LayersTest {
    private val root = File("src/main/kotlin/mountmast")

    /** The layers, lowest first: each may use itself and lower layers only. */
    private val layers = listOf("protocol", "transport", "storage", "coordination")

    /** The packages of the layer `coordination`, each with the other packages of that layer that it may use. */
    private val allowedInCoordination = mapOf(
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

    private fun sourceFiles(folder: File): List<File> = folder.walkTopDown().filter { it.extension == "kt" }.toList()

    /** Returns each reference in [file] to a package below `mountmast`, split at the dots: `a.b` for `mountmast.a.b.Name`. */
    private fun usedPackages(file: File): List<List<String>> = file.readLines()
        .filterNot { it.startsWith("package ") }
        .flatMap { line -> Regex("""\bmountmast((?:\.[a-z]+)+)\.[A-Za-z]""").findAll(line.substringBefore('"')) }
        .map { it.groupValues[1].removePrefix(".").split('.') }

    @Test
    fun `layers depend one way only`() {
        val violations = ArrayList<String>()
        for ((rank, layer) in layers.withIndex()) {
            val files = sourceFiles(root.resolve(layer))
            assertTrue(files.isNotEmpty(), layer)
            for (file in files) {
                for (used in usedPackages(file)) if (layers.indexOf(used.first()) > rank) violations += "$file: $used"
            }
        }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `the packages of coordination use only those that the table allows`() {
        val violations = ArrayList<String>()
        for ((name, allowed) in allowedInCoordination) {
            val files = sourceFiles(root.resolve("coordination/$name"))
            assertTrue(files.isNotEmpty(), name)
            for (file in files) {
                val used = usedPackages(file).filter { it.first() == "coordination" }.map { it.getOrElse(1) { "coordination itself" } }
                for (other in used) if (other != name && other !in allowed) violations += "$file: $other"
            }
        }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `every source file is in the folder of its package, and the table names every package`() {
        val violations = ArrayList<String>()
        for (file in sourceFiles(root)) {
            val folder = file.parentFile.relativeTo(root.parentFile).invariantSeparatorsPath
            if (file.useLines { lines -> lines.first { it.startsWith("package ") } } !=
                "package ${folder.replace('/', '.')}"
            ) {
                violations += "$file"
            }
        }
        assertEquals(emptyList<String>(), violations)
        val folders = sourceFiles(root.resolve("coordination")).map { it.parentFile.relativeTo(root.resolve("coordination")).path }
        assertEquals(allowedInCoordination.keys, folders.toSet())
    }
}
