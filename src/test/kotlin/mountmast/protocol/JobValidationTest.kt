package mountmast.protocol

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class JobValidationTest {
    private val good = JobValidation.parseObject(
        """{"nameId":"j-000412","jobclass":"train","owner":"vision","shape":"array","urgency":"high","pieces":16,
        "vcpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07","sizeGb":6.2,"hulls":["g8"],"yard":null,"together":true,
        "scatter":false,"loaners":true,"expectedS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0,"new":1}""",
    )

    private fun with(name: String, value: JsonElement) = JsonObject(good + (name to value))

    @Test
    fun `a submission with all fields is parsed, unknown fields are ignored and nullable ones may be absent`() {
        val spec = JobValidation.parse(good)
        assertEquals(JobId("j-000412"), spec.id)
        assertEquals(listOf(TypeId("g8")), spec.types)
        val bare = JobValidation.parse(JsonObject(good - setOf("hulls", "yard", "dueS")))
        assertNull(bare.types)
        assertNull(bare.deadlineS)
    }

    @Test
    fun `prerequisites may be absent, null or empty, and duplicates count once`() {
        for (none in listOf(good, with("waitsOn", JsonNull), with("waitsOn", JsonArray(emptyList())))) {
            assertEquals(emptyList<JobId>(), JobValidation.parse(none).prerequisites)
        }
        val names = listOf("j-2", "j-1", "j-2").map { JsonPrimitive(it) }
        assertEquals(listOf(JobId("j-2"), JobId("j-1")), JobValidation.parse(with("waitsOn", JsonArray(names))).prerequisites)
    }

    @Test
    fun `every missing or invalid field is rejected with a message that names the field`() {
        for (name in good.keys - setOf("hulls", "yard", "dueS", "new")) {
            val refused = assertThrows(MalformedRequestException::class.java) { JobValidation.parse(JsonObject(good - name)) }
            assert(refused.message!!.startsWith(name)) { "$name: ${refused.message}" }
        }
        val invalid = listOf(
            "nameId" to JsonPrimitive("job-1"), "nameId" to JsonPrimitive("j-1/0"), "pieces" to JsonPrimitive(0),
            "pieces" to JsonPrimitive(100_001), "pieces" to JsonPrimitive(1.5), "pieces" to JsonPrimitive("3"),
            "vcpus" to JsonPrimitive("8.0"), "vcpus" to JsonPrimitive(-1), "vcpus" to JsonPrimitive(1e300),
            "memGb" to JsonPrimitive(true), "together" to JsonPrimitive("true"), "shape" to JsonPrimitive("ensemble"),
            "urgency" to JsonPrimitive("low"), "hulls" to JsonPrimitive("g8"), "yard" to JsonPrimitive(3),
            "owner" to JsonNull, "dueS" to JsonPrimitive(-5), "waitsOn" to JsonPrimitive("j-000001"),
            "waitsOn" to JsonArray(listOf(JsonPrimitive("job-1"))), "waitsOn" to JsonArray(listOf(JsonPrimitive(1))),
        )
        for ((name, value) in invalid) assertThrows(MalformedRequestException::class.java, { JobValidation.parse(with(name, value)) }, name)
        for (text in listOf("", "[]", "3", "{", "null")) {
            assertThrows(MalformedRequestException::class.java, { JobValidation.parseObject(text) }, text)
        }
    }

    @Test
    fun `the reason is returned for a job that can never run`() {
        val team = TeamQuota(TeamId("vision"), cpus = 8.0, cpusMax = 64.0, gpus = 0.0, gpusMax = 0.0)
        val teams = mapOf(team.id to team)
        val type = MachineType(TypeId("g8"), 96.0, 8.0, 768.0, 200.0, 1.0, 12.0, 4.5, 45.0, listOf(Zone("a")))
        fun why(body: JsonObject, types: List<MachineType> = listOf(type)) =
            JobValidation.explainNeverRuns(JobValidation.parse(body), teams, types)
        assertNull(why(good))
        assertNotNull(why(with("owner", JsonPrimitive("nobody"))))
        assertNotNull(why(with("vcpus", JsonPrimitive(97.0))))
        assertNotNull(why(with("yard", JsonPrimitive("b"))))
        assertNotNull(why(with("vcpus", JsonPrimitive(65.0))), "an array's single task is over the limit")
        // Together the 16 replicas of 8 CPUs exceed the limit of 64; the tasks of an array may run one after another.
        assertNotNull(why(with("shape", JsonPrimitive("daemon"))))
    }
}
