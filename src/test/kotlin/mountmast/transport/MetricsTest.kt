package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MetricsTest {
    private val metrics = Metrics()

    @Test
    fun `counters, durations and gauges are rendered one a line, by name`() {
        metrics.counter("b").add(3)
        metrics.counter("b").add()
        metrics.timing("a").record(20)
        metrics.timing("a").record(5)
        metrics.gauge("c") { 7 }
        assertEquals(
            "mountmast_b_total 4\nmountmast_a_count 2\nmountmast_a_sum_ms 25\nmountmast_c 7\n",
            metrics.render(),
        )
    }

    @Test
    fun `the longest duration is taken once`() {
        val timing = metrics.timing("t")
        listOf(4L, 9L, 2L).forEach(timing::record)
        assertEquals(9, timing.readAndResetLongestMs())
        assertEquals(0, timing.readAndResetLongestMs())
    }

    @Test
    fun `a gauge that nobody registered is zero`() {
        assertEquals(0, metrics.gaugeValue("none"))
    }

    @Test
    fun `many threads lose no count`() {
        val threads = List(8) { kotlin.concurrent.thread { repeat(1000) { metrics.counter("n").add() } } }
        threads.forEach { it.join() }
        assertTrue(metrics.counter("n").value == 8000L)
    }
}
