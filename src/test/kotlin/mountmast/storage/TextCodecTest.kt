package mountmast.storage

import kotlinx.serialization.encodeToString
import mountmast.protocol.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import kotlin.random.Random

class TextCodecTest {
    private val random = Random(17)

    private fun starts(count: Int) = buildString {
        repeat(count) { append("+j-${100_000 + it / 40}/${it % 40} vm-${random.nextInt(600)} 1 ${3_145_728 + it} rz-ost;") }
    }

    private fun sizeOf(piece: PackedText) =
        WireJson.encodeToString(JournalRecord(Long.MAX_VALUE, piece.plain, piece.compressed)).encodeToByteArray().size

    private fun read(pieces: List<PackedText>) = pieces.joinToString("") { TextCodec.read(it.plain, it.compressed) }

    @Test
    fun `texts of all sizes are split at the ends of entries, fit with the JSON around them and are read back unchanged`() {
        for (limit in listOf(512, 1000, 1945, 2048, 8192, 16_384)) {
            for (count in listOf(0, 1, 2, 7, 30, 100, 5000)) {
                for (compact in listOf(false, true)) {
                    val text = starts(count)
                    val pieces = TextCodec.pack(text, limit, compact)
                    assertEquals(text, read(pieces))
                    assertEquals(count, pieces.sumOf { it.entryCount })
                    assertTrue(pieces.all { sizeOf(it) <= limit }, "limit $limit, $count entries, compact $compact")
                    assertTrue(pieces.all { TextCodec.read(it.plain, it.compressed).endsWith(";") })
                }
            }
        }
    }

    @Test
    fun `random texts with special characters fit too, and only plain pieces are written unless compact is set`() {
        repeat(300) {
            val text = buildString {
                repeat(random.nextInt(1, 60)) {
                    repeat(random.nextInt(1, 100)) { append(SPECIAL_CHARS.random(random)) }
                    append(';')
                }
            }
            for (compact in listOf(false, true)) {
                val pieces = TextCodec.pack(text, 1024, compact)
                assertEquals(text, read(pieces))
                assertTrue(pieces.all { sizeOf(it) <= 1024 })
                assertTrue(compact || pieces.all { it.compressed == null })
            }
        }
    }

    @Test
    fun `the compact form of 5000 starts takes less than half as many values as the plain form`() {
        val text = starts(5000)
        val plain = TextCodec.pack(text, 1945, compact = false).size
        val compact = TextCodec.pack(text, 1945, compact = true).size
        assertTrue(compact * 2 < plain, "$compact instead of $plain")
    }

    @Test
    fun `an entry larger than a value is a piece of its own`() {
        val long = "x".repeat(2000) + ";"
        val pieces = TextCodec.pack("a;" + long + "b;", 600, compact = false)
        assertEquals(listOf("a;", long, "b;"), pieces.map { it.plain })
        assertEquals("a;" + long + "b;", read(TextCodec.pack("a;" + long + "b;", 600, compact = true)))
    }

    @Test
    fun `a corrupted text is rejected, and decompression stops at the size limit`() {
        val packed = TextCodec.pack(starts(2000), 8192, compact = true).first().compressed!!
        assertThrows(UnreadableTextException::class.java) { TextCodec.read("", packed.take(packed.length / 2)) }
        assertThrows(UnreadableTextException::class.java) { TextCodec.read("", "not Base64!") }
        assertThrows(UnreadableTextException::class.java) { TextCodec.read("", "") }
        val out = ByteArrayOutputStream()
        DeflaterOutputStream(out, Deflater(9, true)).use { it.write(ByteArray(50_000_000)) }
        val bomb = Base64.getEncoder().encodeToString(out.toByteArray())
        val refused = assertThrows(UnreadableTextException::class.java) { TextCodec.read("", bomb) }
        assertTrue("longer" in refused.message!!)
        repeat(500) {
            val broken = packed.toCharArray().also { it[random.nextInt(it.size)] = 'A' }.concatToString()
            try {
                assertTrue(TextCodec.read("", broken).length <= TextCodec.MAX_READ_BYTES)
            } catch (e: UnreadableTextException) {
                assertTrue(e.message!!.isNotEmpty())
            }
        }
    }

    private companion object {
        const val SPECIAL_CHARS = "abc \"\\/\n\t<äß€漢0123456789"
    }
}
