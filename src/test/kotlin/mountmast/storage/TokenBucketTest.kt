package mountmast.storage

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    private var nowNanos = 0L
    private val bucket = TokenBucket(12.0) { nowNanos }

    private fun pass(ms: Long) {
        nowNanos += ms * 1_000_000
    }

    @Test
    fun `a second's worth may be taken at once, then as much as the rate gives`() {
        assertEquals(0L, bucket.take(12, 0))
        assertNull(bucket.take(1, 0))
        assertEquals(84L, bucket.take(1, 300))
        pass(84)
        assertNull(bucket.take(1, 0))
        pass(84)
        assertEquals(0L, bucket.take(1, 0))
    }

    @Test
    fun `work in the background leaves a reserve for users`() {
        assertFalse(bucket.budget().isScarce)
        assertEquals(9, bucket.budget().available)
        assertEquals(0L, bucket.take(9, 0))
        assertEquals(WriteBudget(0, isScarce = true), bucket.budget())
        assertEquals(0L, bucket.take(3, 0))
        pass(500)
        assertEquals(3, bucket.budget().available)
    }

    @Test
    fun `what was refused takes nothing, and more than a second's worth is possible`() {
        assertEquals(0L, bucket.take(20, 0))
        assertNull(bucket.take(1, 300))
        pass(2000)
        assertTrue(bucket.budget().available > 0)
    }

    @Test
    fun `a change of the rate keeps what is left`() {
        bucket.take(12, 0)
        bucket.setRate(24.0)
        assertEquals(0, bucket.budget().available)
        pass(1000)
        assertEquals(18, bucket.budget().available)
    }
}
