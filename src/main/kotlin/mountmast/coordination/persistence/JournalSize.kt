package mountmast.coordination.persistence

/**
 * Number of slots of the journal. A new leader reads all slots, so their total size is bounded rather than their number. The smaller the
 * values, the more slots are needed: each value holds fewer changes, and a snapshot of a large fleet takes more writes, during which
 * the journal grows.
 *
 * Records are replayed in the order of their numbers, whatever slots they are in, so successive leaders may use different sizes.
 */
internal class JournalSize private constructor(val slotCount: Int) {
    /** A snapshot is begun once the journal has this many records since the latest complete snapshot. */
    val beginSnapshotAfterRecords: Long = (slotCount * BEGIN_SNAPSHOT_SHARE).toLong()

    /** A snapshot should be complete before the journal has this many records since the previous complete snapshot. */
    val completeSnapshotBeforeRecords: Long = (slotCount * COMPLETE_SNAPSHOT_SHARE).toLong()

    /** The slot of the record with [recordNumber]. */
    fun slotOf(recordNumber: Long): Int = (recordNumber % slotCount).toInt()

    companion object {
        private const val TARGET_TOTAL_BYTES = 1024 * 1024
        private const val BEGIN_SNAPSHOT_SHARE = 0.375
        private const val COMPLETE_SNAPSHOT_SHARE = 0.875

        /** The journal size that the release in production uses; no journal is smaller. */
        val MINIMUM = JournalSize(128)

        /**
         * Returns the journal size for values of up to [valueBytes]. A journal above [MINIMUM] may be used only if every node can read
         * it.
         */
        fun forValuesOf(valueBytes: Int): JournalSize =
            if (TARGET_TOTAL_BYTES / valueBytes > MINIMUM.slotCount) JournalSize(TARGET_TOTAL_BYTES / valueBytes) else MINIMUM
    }
}
