package mountmast.storage

import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** A compressed text that cannot be read: corrupted, or longer than [TextCodec.MAX_READ_BYTES]. */
class UnreadableText(message: String, cause: Throwable? = null) : IllegalArgumentException(message, cause)

/**
 * A piece of a longer text in the form in which one value of the store holds it.
 *
 * @property plain the piece itself, or an empty text if it is compressed
 * @property compressed the compressed piece, or null
 * @property end where the piece ends in the longer text
 * @property entries how many entries it holds
 */
class PackedText(val plain: String, val compressed: String?, val end: Int, val entries: Int)

/**
 * Divides texts of entries that end with [ENTRY_END] into values of a limited size.
 *
 * The compact form is Deflate without a header, in Base64. It is written only once every node can read it.
 */
object TextCodec {
    /** Ends each entry. */
    const val ENTRY_END = ';'

    /** Bytes reserved for the JSON around a text: names, quotes and a number of the longest kind. */
    const val ENVELOPE_BYTES = 64

    /** The longest text that is read: a corrupted record must not exhaust the memory. */
    const val MAX_READ_BYTES = 256 * 1024

    /** Below [MAX_READ_BYTES], so that whatever was written can be read. */
    private const val MAX_PACKED_CHARS = 64 * 1024
    private const val EXPECTED_RATIO = 4
    private const val SHRINK_FACTOR = 0.95
    private const val WELL_FILLED_SHARE = 0.8
    private const val CHUNK_BYTES = 4096

    /** Splits [text] into pieces at the ends of entries, each of which fits a value of [limitBytes]. */
    fun pack(text: String, limitBytes: Int, compact: Boolean): List<PackedText> {
        val pieces = ArrayList<PackedText>()
        var from = 0
        while (from < text.length) {
            val piece = packNext(text, from, limitBytes, compact)
            pieces += piece
            from = piece.end
        }
        return pieces
    }

    /**
     * Returns the piece of [text] that begins at [from] and fits a value of [limitBytes], its JSON included. It holds at least one
     * entry, even if that is larger than a value: an entry cannot be divided.
     */
    fun packNext(text: String, from: Int, limitBytes: Int, compact: Boolean): PackedText {
        val available = limitBytes - ENVELOPE_BYTES
        val plainEnd = plainEnd(text, from, available)
        if (compact && plainEnd < text.length) packCompact(text, from, available)?.let { if (it.end > plainEnd) return it }
        return packed(text, from, plainEnd, null)
    }

    /** Returns the text that was packed. Throws [UnreadableText] if [compressed] is not a text of this codec. */
    fun read(plain: String, compressed: String?): String = if (compressed == null) plain else inflate(compressed)

    private fun packCompact(text: String, from: Int, available: Int): PackedText? {
        var best: PackedText? = null
        var maximum = minOf(available * EXPECTED_RATIO, MAX_PACKED_CHARS)
        while (true) {
            val end = entryBoundary(text, from, maximum)
            val compressed = deflate(text.substring(from, end))
            val fits = compressed.length <= available
            if (fits) best = packed(text, from, end, compressed)
            val isFull = end == text.length || maximum == MAX_PACKED_CHARS || compressed.length >= available * WELL_FILLED_SHARE
            val isLeast = end == entryBoundary(text, from, 0)
            // What fits is made larger once at most; what does not is made smaller until it does.
            if (fits && (isFull || maximum != minOf(available * EXPECTED_RATIO, MAX_PACKED_CHARS))) return best
            if (!fits && (best != null || isLeast)) return best
            val scaled = ((end - from).toDouble() * available / compressed.length * SHRINK_FACTOR).toInt()
            maximum = minOf(if (fits) scaled else minOf(scaled, end - from - 1), MAX_PACKED_CHARS)
        }
    }

    private fun packed(text: String, from: Int, end: Int, compressed: String?): PackedText {
        val raw = text.substring(from, end)
        return PackedText(if (compressed == null) raw else "", compressed, end, raw.count { it == ENTRY_END })
    }

    /** Returns the end of the longest run of whole entries that takes [available] bytes as a JSON string, or else of the first entry. */
    private fun plainEnd(text: String, from: Int, available: Int): Int {
        var bytes = 0
        var end = from
        for (at in from until text.length) {
            bytes += jsonBytes(text[at])
            if (bytes > available) break
            if (text[at] == ENTRY_END || at == text.length - 1) end = at + 1
        }
        return if (end > from) end else entryBoundary(text, from, 0)
    }

    /** Returns the end of the last entry that ends within [maximum] characters from [from], or else of the first entry. */
    private fun entryBoundary(text: String, from: Int, maximum: Int): Int {
        if (text.length - from <= maximum) return text.length
        val last = text.lastIndexOf(ENTRY_END, from + maximum - 1)
        if (last >= from) return last + 1
        val first = text.indexOf(ENTRY_END, from)
        return if (first < 0) text.length else first + 1
    }

    private fun deflate(text: String): String {
        val deflater = Deflater(Deflater.DEFAULT_COMPRESSION, true)
        try {
            deflater.setInput(text.encodeToByteArray())
            deflater.finish()
            val out = ByteArrayOutputStream()
            val chunk = ByteArray(CHUNK_BYTES)
            while (!deflater.finished()) out.write(chunk, 0, deflater.deflate(chunk))
            return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray())
        } finally {
            deflater.end()
        }
    }

    private fun inflate(compressed: String): String {
        val bytes = try {
            Base64.getDecoder().decode(compressed)
        } catch (e: IllegalArgumentException) {
            throw UnreadableText("not Base64: ${e.message}", e)
        }
        val inflater = Inflater(true)
        try {
            inflater.setInput(bytes)
            val out = ByteArrayOutputStream()
            val chunk = ByteArray(CHUNK_BYTES)
            while (!inflater.finished()) {
                val length = inflater.inflate(chunk)
                if (length == 0 && !inflater.finished()) throw UnreadableText("the compressed text is cut short")
                if (out.size() + length > MAX_READ_BYTES) throw UnreadableText("longer than $MAX_READ_BYTES bytes")
                out.write(chunk, 0, length)
            }
            return out.toString(Charsets.UTF_8)
        } catch (e: DataFormatException) {
            throw UnreadableText("not compressed text: ${e.message}", e)
        } finally {
            inflater.end()
        }
    }
}
