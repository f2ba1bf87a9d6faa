package mountmast.protocol

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Reads the fields of a submitted job. Each function throws a [MalformedRequestException] that names the field if the field is invalid.
 * A field that is missing or null counts as invalid too, unless the function's result can be null.
 */
internal class JobFields(private val body: JsonObject) {
    fun string(name: String): String = string(required(name), name)

    /** Returns the strings in the list [name], or null if the field is missing or null. */
    fun strings(name: String): List<String>? {
        val list = optional(name) ?: return null
        if (list !is JsonArray) throw MalformedRequestException("$name: not a list")
        return list.map { string(it, name) }
    }

    /** Returns the zone [name], or null if the field is missing or null. */
    fun optionalZone(name: String): Zone? {
        val text = string(optional(name) ?: return null, name)
        return try {
            Zone(text)
        } catch (e: IllegalArgumentException) {
            throw MalformedRequestException("$name: not a zone's name")
        }
    }

    /** Returns the number [name], which must be from 0 to [MAX_AMOUNT]. */
    fun amount(name: String): Double = amount(required(name), name)

    /** Returns the number [name], which must be from 0 to [MAX_AMOUNT], or null if the field is missing or null. */
    fun optionalAmount(name: String): Double? = optional(name)?.let { amount(it, name) }

    /** Returns the whole number [name], which must be from 1 to [maximum]. */
    fun count(name: String, maximum: Int): Int {
        val value = number(required(name), name).content.toIntOrNull() ?: throw MalformedRequestException("$name: not a count")
        if (value !in 1..maximum) throw MalformedRequestException("$name: out of range")
        return value
    }

    /** Returns the Boolean [name]. */
    fun flag(name: String): Boolean {
        val value = required(name) as? JsonPrimitive
        if (value == null || value.isString) throw MalformedRequestException("$name: not true or false")
        return value.content.toBooleanStrictOrNull() ?: throw MalformedRequestException("$name: not true or false")
    }

    /** Returns the value that [values] gives for the string [name]; a string that is no key of [values] is invalid. */
    fun <T> choice(name: String, values: Map<String, T>): T =
        values[string(name)] ?: throw MalformedRequestException("$name: unknown value")

    private fun optional(name: String): JsonElement? = body[name]?.takeUnless { it is JsonNull }

    private fun required(name: String): JsonElement = optional(name) ?: throw MalformedRequestException("$name: missing")

    private fun string(element: JsonElement, name: String): String {
        val value = element as? JsonPrimitive
        if (value == null || !value.isString) throw MalformedRequestException("$name: not a string")
        if (value.content.isEmpty() || value.content.length > MAX_STRING_CHARS) throw MalformedRequestException("$name: empty or too long")
        return value.content
    }

    private fun amount(element: JsonElement, name: String): Double {
        val value = number(element, name).content.toDoubleOrNull() ?: throw MalformedRequestException("$name: not a number")
        if (!value.isFinite() || value < 0 || value > MAX_AMOUNT) throw MalformedRequestException("$name: out of range")
        return value
    }

    private fun number(element: JsonElement, name: String): JsonPrimitive {
        val value = element as? JsonPrimitive
        if (value == null || value.isString || !NUMBER.matches(value.content)) throw MalformedRequestException("$name: not a number")
        return value
    }

    private companion object {
        const val MAX_AMOUNT = 1e9
        const val MAX_STRING_CHARS = 200
        val NUMBER = Regex("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    }
}
