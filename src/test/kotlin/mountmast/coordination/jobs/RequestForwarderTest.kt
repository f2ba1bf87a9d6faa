package mountmast.coordination.jobs

import mountmast.protocol.ForwardedRequest
import mountmast.protocol.JobId
import mountmast.standin.ProcessFaults
import mountmast.standin.SimulatedStateStore
import mountmast.standin.VirtualTime
import mountmast.storage.StateStore
import mountmast.storage.StoreTimeoutException
import mountmast.transport.UserAnswer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The order in which a request is served from the state service and forwarded, by whether the state service is known to be reachable. */
class RequestForwarderTest {
    private val calls = ArrayList<String>()
    private var forwardedStatus: Int? = 200
    private var isNodeReady = true
    private val time = VirtualTime()
    private val connection = SimulatedStateStore(time).Connection(Random(1), ProcessFaults(time))
    private val request = ForwardedRequest("GET", "/v1/jobs/j-000001", "")

    private inner class Host : HostNode {
        override val acceptsPrerequisites = true

        override fun isReady() = isNodeReady

        override fun forward(request: ForwardedRequest): UserAnswer? {
            calls += "forward"
            return forwardedStatus?.let { UserAnswer(it, "{}") }
        }

        override fun onCancelled(id: JobId) = Unit
    }

    private class Store(private val store: StateStore, override val isReachable: Boolean) : StateStore by store

    private fun send(isReachable: Boolean, isForwarded: Boolean = false): Int {
        calls.clear()
        val forwarder = RequestForwarder(Host(), Store(connection, isReachable))
        return forwarder.serveOrForward(request, isForwarded) {
            calls += "serve"
            throw StoreTimeoutException("no answer")
        }.status
    }

    @Test
    fun `while the state service is not reachable, a request is forwarded without waiting for it`() {
        // Polls waited for the state service and then for a peer, longer than their users did.
        assertEquals(200, send(isReachable = false))
        assertEquals(listOf("forward"), calls)
    }

    @Test
    fun `a request that was forwarded to a node that cannot serve any longer is rejected at once`() {
        assertEquals(503, send(isReachable = false, isForwarded = true))
        assertEquals(emptyList<String>(), calls)
    }

    @Test
    fun `a node that is not ready rejects at once what no peer takes`() {
        // Polls at a cut-off node waited for the state service for longer than their users did, and got no answer.
        forwardedStatus = null
        isNodeReady = false
        assertEquals(503, send(isReachable = false))
        assertEquals(listOf("forward"), calls)
    }

    @Test
    fun `if no peer serves, a ready node tries a request at the state service, which may just answer again`() {
        forwardedStatus = null
        assertEquals(503, send(isReachable = false))
        assertEquals(listOf("forward", "serve"), calls)
    }

    @Test
    fun `while the state service is reachable, a request is forwarded only after it did not answer`() {
        assertEquals(200, send(isReachable = true))
        assertEquals(listOf("serve", "forward"), calls)
        assertEquals(503, send(isReachable = true, isForwarded = true))
        assertEquals(listOf("serve"), calls)
    }
}
