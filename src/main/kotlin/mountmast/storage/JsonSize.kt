package mountmast.storage

import kotlinx.serialization.json.JsonElement

private const val ASCII_END = 0x80
private const val TWO_BYTES_END = 0x800
private const val ESCAPED_BYTES = 6

/** Of one of the two chars of a pair, or of a char by itself. */
private const val MAX_UTF8_BYTES = 3

/** Bytes that [char] takes at most within a JSON string. */
internal fun jsonBytes(char: Char): Int = when {
    char == '"' || char == '\\' -> 2
    char < ' ' -> ESCAPED_BYTES
    char.code < ASCII_END -> 1
    char.code < TWO_BYTES_END -> 2
    else -> MAX_UTF8_BYTES
}

/** Bytes that [value] takes at most, also where it is written with a space after each separator. */
fun jsonSize(value: JsonElement): Int = value.toString().sumOf { char ->
    val utf8 = if (char.code < ASCII_END) 1 else jsonBytes(char)
    if (char == ',' || char == ':') utf8 + 1 else utf8
}
