package mountmast.standin

import java.security.MessageDigest

/**
 * A SHA-256 hash over all events that the simulated cloud, workers, users, network and state service of one [SimulatedCluster] report,
 * each with its virtual time. In two simulation runs with the same digest the controllers had the same external behaviour.
 *
 * Events are reported through [VirtualTime.record], in wire form: JSON, keys and numbers. They contain no names of classes or
 * properties of the main code, so that renaming those does not change the digest. Not thread-safe.
 *
 * @param trace receives each event as one line, so that the events of two simulation runs can be compared
 */
class DayDigest(private val trace: Appendable? = null) {
    private val hash = MessageDigest.getInstance("SHA-256")

    /** Number of events recorded so far. */
    var events = 0
        private set

    /** Adds the event described by [text], which happened at virtual time [atMs], in milliseconds. */
    fun add(atMs: Long, text: String) {
        val line = "$atMs $text\n"
        hash.update(line.encodeToByteArray())
        trace?.append(line)
        events++
    }

    /** Returns the digest in hexadecimal. No event may be added afterwards. */
    fun finish(): String = hash.digest().joinToString("") { "%02x".format(it) }
}
