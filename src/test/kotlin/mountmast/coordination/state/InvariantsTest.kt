package mountmast.coordination.state

import mountmast.transport.MetricNames
import mountmast.transport.Metrics
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class InvariantsTest {
    @Test
    fun `a violation is counted and logged, and the caller learns of it`() {
        val metrics = Metrics()
        val invariants = Invariants(metrics)
        assertTrue(invariants.check(true) { throw AssertionError("the message was built although the condition is met") })
        assertEquals(0, invariants.violationCount)
        assertFalse(invariants.check(false) { "broken" })
        assertEquals(1, invariants.violationCount)
        assertTrue("mountmast_${MetricNames.INVARIANT_VIOLATIONS}_total 1" in metrics.render())
    }
}
