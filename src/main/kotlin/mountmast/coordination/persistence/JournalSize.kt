package mountmast.coordination.persistence

/**
 * How many slots the journal has. A new leader reads them all, so their volume is bounded, not their number: small values
 * hold few changes each, and a snapshot of a large fleet in small values takes many writes, during which the journal goes on.
 *
 * Records are replayed by their numbers, wherever they stand, so leaders may use different sizes one after another.
 */
internal class JournalSize private constructor(val slotCount: Int) {
    /** A snapshot is begun once the journal has this many records since the snapshot before. */
    val beginSnapshotAfter: Long = (slotCount * BEGIN_SHARE).toLong()

    /** A snapshot should be complete before the journal has this many records since the snapshot before. */
    val completeSnapshotBefore: Long = (slotCount * COMPLETE_SHARE).toLong()

    /** The slot of the record with [recordNumber]. */
    fun slotOf(recordNumber: Long): Int = (recordNumber % slotCount).toInt()

    companion object {
        private const val VOLUME_BYTES = 1024 * 1024
        private const val BEGIN_SHARE = 0.375
        private const val COMPLETE_SHARE = 0.875

        /** What the release in production reads and writes; no journal is smaller. */
        val MINIMUM = JournalSize(128)

        /** The size where values are filled up to [valueBytes] and every node reads larger journals. */
        fun forValuesOf(valueBytes: Int): JournalSize =
            if (VOLUME_BYTES / valueBytes > MINIMUM.slotCount) JournalSize(VOLUME_BYTES / valueBytes) else MINIMUM
    }
}
