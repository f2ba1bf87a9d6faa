package mountmast.storage

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    private var nowNanos = 0L
    private val bucket = TokenBucket(12.0) { nowNanos }

    private fun advance(ms: Long) {
        nowNanos += ms * 1_000_000
    }

    @Test
    fun `the permits of one second may be taken at once, then as many as the rate adds`() {
        assertEquals(0L, bucket.take(12, 0))
        assertNull(bucket.take(1, 0))
        assertEquals(84L, bucket.take(1, 300))
        advance(84)
        assertNull(bucket.take(1, 0))
        advance(84)
        assertEquals(0L, bucket.take(1, 0))
    }

    @Test
    fun `the budget of background work leaves a reserve for users`() {
        assertFalse(bucket.budget().isScarce)
        assertEquals(9, bucket.budget().available)
        assertEquals(0L, bucket.take(9, 0))
        assertEquals(WriteBudget(0, isScarce = true), bucket.budget())
        assertEquals(0L, bucket.take(3, 0))
        advance(500)
        assertEquals(3, bucket.budget().available)
    }

    @Test
    fun `a refused take leaves the bucket unchanged, and more than the permits of one second can be taken`() {
        assertEquals(0L, bucket.take(20, 0))
        assertNull(bucket.take(1, 300))
        advance(2000)
        assertTrue(bucket.budget().available > 0)
    }

    @Test
    fun `a change of the rate keeps the remaining permits`() {
        bucket.take(12, 0)
        bucket.setRate(24.0)
        assertEquals(0, bucket.budget().available)
        advance(1000)
        assertEquals(18, bucket.budget().available)
    }
}
