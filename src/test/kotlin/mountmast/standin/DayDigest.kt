package mountmast.standin

import java.security.MessageDigest

/**
 * A SHA-256 hash over all events that the stand-ins of one [World] report, each with its virtual time. Two days with the same
 * digest looked the same from outside of the controllers.
 *
 * Events are reported through [VirtualTime.record], in wire form: JSON, keys and numbers. They hold no names of classes or
 * properties of the main code, so that a renaming leaves the digest as it is. Not safe for use by several threads.
 *
 * @param trace where each event is also written, as one line, so that two days can be compared
 */
class DayDigest(private val trace: Appendable? = null) {
    private val hash = MessageDigest.getInstance("SHA-256")

    /** How many events were recorded so far. */
    var events = 0
        private set

    /** Adds the event described by [text], which happened at virtual time [atMs], in milliseconds. */
    fun add(atMs: Long, text: String) {
        val line = "$atMs $text\n"
        hash.update(line.encodeToByteArray())
        trace?.append(line)
        events++
    }

    /** The digest in hexadecimal; ends the recording. */
    fun finish(): String = hash.digest().joinToString("") { "%02x".format(it) }
}
