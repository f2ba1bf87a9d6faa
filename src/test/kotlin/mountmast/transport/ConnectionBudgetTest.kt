package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConnectionBudgetTest {
    @Test
    fun `every worker of the largest fleet keeps its connection, and outbound connections stay reserved`() {
        // When only half of the connections could be idle, those of 1,680 workers were closed and opened again and again.
        val large = ConnectionBudget.of(2709)
        assertTrue(large.maxIdleConnections >= 1680 + 400, "$large")
        for (total in listOf(16, 100, 800, 1800, 2709, 3265)) {
            val budget = ConnectionBudget.of(total)
            assertTrue(budget.maxInboundConnections in 1..total && budget.maxIdleConnections <= budget.maxInboundConnections, "$budget")
            assertTrue(total < 100 || budget.maxInboundConnections + budget.deliveryThreadCount < total - 30, "$budget")
            assertTrue(budget.maxWaitingRequests <= 1024 && budget.deliveryThreadCount <= 16, "bounds do not grow with the fleet: $budget")
        }
        assertEquals(5, ConnectionBudget.of(800).deliveryThreadCount)
    }
}
