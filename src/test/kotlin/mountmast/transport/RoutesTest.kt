package mountmast.transport

import mountmast.protocol.FencingToken
import mountmast.protocol.Heartbeat
import mountmast.protocol.HeartbeatResponse
import mountmast.protocol.NodeId
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class RoutesTest {
    private val blocked = CountDownLatch(1)
    private val entered = CountDownLatch(LIMIT)

    private inner class Users : UserService {
        override fun submit(body: String, isForwarded: Boolean): UserAnswer {
            if (body == "block") {
                entered.countDown()
                blocked.await(10, TimeUnit.SECONDS)
            }
            if (body == "fail") error("on purpose")
            return UserAnswer(201, "{}")
        }

        override fun status(id: String, isForwarded: Boolean) = UserAnswer(404, errorBody("no such job"))
        override fun cancel(id: String, isForwarded: Boolean) = UserAnswer(200, id)
        override fun isReady() = true
    }

    private val heartbeatService = HeartbeatService { heartbeat: Heartbeat ->
        if (heartbeat.machine.text ==
            "vm-1"
        ) {
            HeartbeatOutcome.Accepted(HeartbeatResponse(FencingToken(7u), emptyList()))
        } else {
            HeartbeatOutcome.Redirected(NodeId("n-2"))
        }
    }
    private val routes =
        publicRoutes(Users(), heartbeatService, AdmissionLimits(AdmissionLimit(LIMIT, LIMIT), AdmissionLimit(LIMIT, LIMIT)))

    private fun call(method: Method, path: String, body: String = "") = routes(Request(method, path).body(body))

    private fun heartbeat(machine: String) = """{"host":"$machine","address":"127.0.0.1:1","hull":"s","yard":"a","loaners":false,""" +
        """"watch":1,"tally":1,"helm":0,"pieces":[],"more":1}"""

    @Test
    fun `each path and method has its status, and a body over the limit is refused`() {
        assertEquals(404, call(Method.GET, "/nothing").status.code)
        assertEquals(405, call(Method.GET, "/v1/jobs").status.code)
        assertEquals(405, call(Method.POST, "/v1/jobs/j-1").status.code)
        assertEquals(404, call(Method.GET, "/v1/jobs/j-1").status.code)
        assertEquals("j-1", call(Method.POST, "/v1/jobs/j-1/cancel").bodyString())
        assertEquals(400, call(Method.POST, "/v1/jobs", "x".repeat(MAX_BODY_BYTES + 1)).status.code)
        assertEquals(201, call(Method.POST, "/v1/jobs", "x".repeat(MAX_BODY_BYTES)).status.code)
        assertEquals(500, call(Method.POST, "/v1/jobs", "fail").status.code)
    }

    @Test
    fun `heartbeats are answered, redirected, or refused if malformed`() {
        assertEquals("""{"helm":7,"orders":[]}""", call(Method.POST, "/agent/beat", heartbeat("vm-1")).bodyString())
        val elsewhere = call(Method.POST, "/agent/beat", heartbeat("vm-2"))
        assertEquals(421 to """{"bridge":"n-2"}""", elsewhere.status.code to elsewhere.bodyString())
        for (malformedBody in listOf(
            "",
            "[]",
            "{}",
            heartbeat("vm-1").replace("\"watch\":1", "\"watch\":-1"),
            heartbeat("vm-1").replace("\"watch\":1", "\"watch\":\"x\""),
        )) {
            assertEquals(400, call(Method.POST, "/agent/beat", malformedBody).status.code, malformedBody)
        }
    }

    @Test
    fun `submissions over the limit are refused at once, while other requests are served`() {
        val busy = List(LIMIT) { thread { call(Method.POST, "/v1/jobs", "block") } }
        assertTrue(entered.await(10, TimeUnit.SECONDS))
        val refused = call(Method.POST, "/v1/jobs", "{}")
        assertEquals(429, refused.status.code)
        assertEquals("1", refused.header("Retry-After"))
        assertEquals(200, call(Method.GET, "/ready").status.code)
        assertEquals(200, call(Method.POST, "/v1/jobs/j-1/cancel").status.code)
        assertEquals(200, call(Method.POST, "/agent/beat", heartbeat("vm-1")).status.code)
        blocked.countDown()
        busy.forEach { it.join() }
        assertEquals(201, call(Method.POST, "/v1/jobs", "{}").status.code)
    }

    private companion object {
        const val LIMIT = 4
    }
}
