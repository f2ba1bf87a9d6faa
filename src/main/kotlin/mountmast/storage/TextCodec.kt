package mountmast.storage

import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** A compressed text cannot be read: it is corrupted, or longer than [TextCodec.MAX_READ_BYTES] when decompressed. */
class UnreadableTextException(message: String, cause: Throwable? = null) : IllegalArgumentException(message, cause)

/**
 * A piece of a longer text, in the form in which one value of the state service holds it.
 *
 * @property plain the piece itself, or an empty string if the piece is compressed
 * @property compressed the piece in the compact form, or null if it is not compressed
 * @property end index in the longer text at which the piece ends, exclusive
 * @property entryCount number of entries in the piece
 */
class PackedText(val plain: String, val compressed: String?, val end: Int, val entryCount: Int)

/**
 * Divides texts whose entries end with [ENTRY_END] into values of a limited size.
 *
 * The compact form is raw Deflate (without a zlib header) in Base64 without padding. It may be written only once every node of the
 * deployment can read it.
 */
object TextCodec {
    /** The character that ends each entry. */
    const val ENTRY_END = ';'

    /** Bytes reserved for the JSON around a text: field names, quotes and a number with the largest number of digits. */
    const val ENVELOPE_BYTES = 64

    /** Limit on a decompressed text, in bytes, so that a corrupted record cannot exhaust the memory. */
    const val MAX_READ_BYTES = 256 * 1024

    /** Limit on the text of one piece, low enough for every piece that is written to stay within [MAX_READ_BYTES]. */
    private const val MAX_PIECE_CHARS = 64 * 1024
    private const val EXPECTED_COMPRESSION_RATIO = 4
    private const val SHRINK_FACTOR = 0.95
    private const val MIN_FILL_RATIO = 0.8
    private const val CHUNK_BYTES = 4096

    /** Splits [text] into pieces at the ends of entries, as [packNext] does, and returns them in order. */
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
     * Returns the piece of [text] that begins at [from] and fits into a value of [limitBytes] bytes, including the JSON around it. The
     * piece holds at least one entry, even if that entry alone exceeds the limit, since an entry cannot be divided. Only if [compact] is
     * true may the piece be compressed.
     */
    fun packNext(text: String, from: Int, limitBytes: Int, compact: Boolean): PackedText {
        val available = limitBytes - ENVELOPE_BYTES
        val plainEnd = plainEnd(text, from, available)
        if (compact && plainEnd < text.length) packCompact(text, from, available)?.let { if (it.end > plainEnd) return it }
        return createPiece(text, from, plainEnd, null)
    }

    /**
     * Returns the text of a piece from the fields of its [PackedText]. Throws [UnreadableTextException] if [compressed] cannot be
     * decompressed.
     */
    fun read(plain: String, compressed: String?): String = if (compressed == null) plain else inflate(compressed)

    /** Returns a compressed piece that begins at [from] and takes up to [available] bytes, or null if not even one entry fits. */
    private fun packCompact(text: String, from: Int, available: Int): PackedText? {
        var best: PackedText? = null
        var maximum = minOf(available * EXPECTED_COMPRESSION_RATIO, MAX_PIECE_CHARS)
        while (true) {
            val end = entryBoundary(text, from, maximum)
            val compressed = deflate(text.substring(from, end))
            val fits = compressed.length <= available
            if (fits) best = createPiece(text, from, end, compressed)
            val isFull = end == text.length || maximum == MAX_PIECE_CHARS || compressed.length >= available * MIN_FILL_RATIO
            val isSingleEntry = end == entryBoundary(text, from, 0)
            // A piece that fits is enlarged at most once; a piece that does not fit is shrunk until it does.
            if (fits && (isFull || maximum != minOf(available * EXPECTED_COMPRESSION_RATIO, MAX_PIECE_CHARS))) return best
            if (!fits && (best != null || isSingleEntry)) return best
            val scaled = ((end - from).toDouble() * available / compressed.length * SHRINK_FACTOR).toInt()
            maximum = minOf(if (fits) scaled else minOf(scaled, end - from - 1), MAX_PIECE_CHARS)
        }
    }

    private fun createPiece(text: String, from: Int, end: Int, compressed: String?): PackedText {
        val raw = text.substring(from, end)
        return PackedText(if (compressed == null) raw else "", compressed, end, raw.count { it == ENTRY_END })
    }

    /**
     * Returns the end of the longest sequence of whole entries from [from] that takes at most [available] bytes as a JSON string, or the
     * end of the first entry if that alone takes more.
     */
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

    /**
     * Returns the end of the last entry that ends within [maximum] characters from [from], or the end of the first entry if that is
     * longer.
     */
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
            throw UnreadableTextException("not Base64: ${e.message}", e)
        }
        val inflater = Inflater(true)
        try {
            inflater.setInput(bytes)
            val out = ByteArrayOutputStream()
            val chunk = ByteArray(CHUNK_BYTES)
            while (!inflater.finished()) {
                val length = inflater.inflate(chunk)
                if (length == 0 && !inflater.finished()) throw UnreadableTextException("the compressed text is cut short")
                if (out.size() + length > MAX_READ_BYTES) throw UnreadableTextException("longer than $MAX_READ_BYTES bytes")
                out.write(chunk, 0, length)
            }
            return out.toString(Charsets.UTF_8)
        } catch (e: DataFormatException) {
            throw UnreadableTextException("not compressed text: ${e.message}", e)
        } finally {
            inflater.end()
        }
    }
}
