package mountmast.coordination.controller

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class StepLoopTest {
    @Test
    fun `a loop goes on after an error in a step`() {
        val steps = CountDownLatch(2)
        StepLoop("failing") {
            steps.countDown()
            throw StackOverflowError("on purpose")
        }.start()
        assertTrue(steps.await(10, TimeUnit.SECONDS), "the loop ended")
    }
}
