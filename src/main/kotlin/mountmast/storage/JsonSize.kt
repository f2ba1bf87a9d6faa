package mountmast.storage

import kotlinx.serialization.json.JsonElement

private const val ASCII_END = 0x80
private const val TWO_BYTES_END = 0x800

/** Bytes of an escape sequence such as `\u001f`. */
private const val ESCAPED_BYTES = 6

/** The largest number of UTF-8 bytes of one char. A surrogate pair takes four bytes, two for each of its chars. */
private const val MAX_UTF8_BYTES = 3

/** Returns the largest number of bytes that [char] takes within a JSON string. */
internal fun jsonBytes(char: Char): Int = when {
    char == '"' || char == '\\' -> 2
    char < ' ' -> ESCAPED_BYTES
    char.code < ASCII_END -> 1
    char.code < TWO_BYTES_END -> 2
    else -> MAX_UTF8_BYTES
}

/** Returns the largest number of bytes that [value] takes as JSON, even if a space follows each comma and colon. */
fun jsonSize(value: JsonElement): Int = value.toString().sumOf { char ->
    val utf8 = if (char.code < ASCII_END) 1 else jsonBytes(char)
    if (char == ',' || char == ':') utf8 + 1 else utf8
}
