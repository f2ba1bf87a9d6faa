package mountmast.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MetricsTest {
    private val metrics = Metrics()

    @Test
    fun `counters, durations and gauges are rendered one per line, each kind sorted by name`() {
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
    fun `the longest duration is reset when it is read`() {
        val timing = metrics.timing("t")
        listOf(4L, 9L, 2L).forEach(timing::record)
        assertEquals(9, timing.readAndResetLongestMs())
        assertEquals(0, timing.readAndResetLongestMs())
    }

    @Test
    fun `the value of a gauge that is not registered is zero`() {
        assertEquals(0, metrics.gaugeValue("none"))
    }

    @Test
    fun `concurrent additions to a counter are all counted`() {
        val threads = List(8) { kotlin.concurrent.thread { repeat(1000) { metrics.counter("n").add() } } }
        threads.forEach { it.join() }
        assertTrue(metrics.counter("n").value == 8000L)
    }
}
