package mountmast.protocol

import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromString
import kotlinx.serialization.json.JsonElement

/**
 * How deep arrays and objects may be nested in a body. The parser recurses once for each level, and threads have stacks of 256 KiB. No
 * message of the protocols has more than eight levels, but unknown fields may.
 */
const val MAX_JSON_DEPTH = 128

/** Decodes the body [text]. Throws [SerializationException] if it is malformed or nested deeper than [MAX_JSON_DEPTH]. */
inline fun <reified T> decodeJson(text: String): T {
    requireBoundedDepth(text)
    return WireJson.decodeFromString<T>(text)
}

/** Parses the body [text]. Throws [SerializationException] if it is malformed or nested deeper than [MAX_JSON_DEPTH]. */
fun parseJson(text: String): JsonElement {
    requireBoundedDepth(text)
    return WireJson.parseToJsonElement(text)
}

/** Throws [SerializationException] if [text] nests arrays and objects deeper than [MAX_JSON_DEPTH]. Does not check it otherwise. */
@PublishedApi
internal fun requireBoundedDepth(text: String) {
    var depth = 0
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '"' -> index = endOfString(text, index)
            '[', '{' -> if (++depth > MAX_JSON_DEPTH) throw SerializationException("nested deeper than $MAX_JSON_DEPTH levels")
            ']', '}' -> depth--
        }
        index++
    }
}

/** Returns the index of the quotation mark that ends the string which begins at [start], or the length of [text] if there is none. */
private fun endOfString(text: String, start: Int): Int {
    var index = start + 1
    while (index < text.length && text[index] != '"') index += if (text[index] == '\\') 2 else 1
    return index
}
