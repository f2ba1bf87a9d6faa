package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConnectionBudgetTest {
    @Test
    fun `every worker of the largest fleet keeps its connection, and the node keeps sockets of its own`() {
        // With half of the sockets for idle connections, those of 1,680 workers were closed and opened again and again.
        val large = ConnectionBudget.of(2709)
        assertTrue(large.idle >= 1680 + 400, "$large")
        for (most in listOf(16, 100, 800, 1800, 2709, 3265)) {
            val sockets = ConnectionBudget.of(most)
            assertTrue(sockets.accepted in 1..most && sockets.idle <= sockets.accepted, "$sockets")
            assertTrue(most < 100 || sockets.accepted + sockets.deliveryThreads < most - 30, "$sockets")
            assertTrue(sockets.waiting <= 1024 && sockets.deliveryThreads <= 16, "bounds do not grow with the fleet: $sockets")
        }
        assertEquals(5, ConnectionBudget.of(800).deliveryThreads)
    }
}
