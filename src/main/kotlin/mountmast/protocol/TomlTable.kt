package mountmast.protocol

import com.electronwill.nightconfig.core.UnmodifiableConfig
import java.net.InetSocketAddress

/**
 * A table of the platform's settings. Unless stated otherwise, each function that returns a value throws an
 * [InvalidSettingsException] that names the field if the field is missing or of another type.
 *
 * @property prefix path of this table that error messages put before the names of its fields, such as `members[0].`
 */
internal class TomlTable(private val table: UnmodifiableConfig, val prefix: String = "") {
    /** Whether there is a value at [path]. */
    fun has(path: String): Boolean = table.get<Any?>(path) != null

    /** Whether the value at [path] is a table. */
    fun isTable(path: String): Boolean = table.get<Any?>(path) is UnmodifiableConfig

    /** Returns the string at [path], which must not be blank. */
    fun string(path: String): String {
        val value = required(path) as? String ?: throw invalid(path, "not a string")
        if (value.isBlank()) throw invalid(path, "empty")
        return value
    }

    /** Returns the number at [path], which must not be below 0. */
    fun amount(path: String): Double {
        val value = required(path) as? Number ?: throw invalid(path, "not a number")
        val amount = value.toDouble()
        if (!amount.isFinite() || amount < 0) throw invalid(path, "out of range")
        return amount
    }

    /** Returns the number at [path], which must be above 0. */
    fun positive(path: String): Double {
        val amount = amount(path)
        if (amount <= 0) throw invalid(path, "must be above 0")
        return amount
    }

    /** Returns the whole number at [path], which must be from [minimum] to [maximum]. */
    fun whole(path: String, minimum: Int, maximum: Int): Int {
        val value = amount(path)
        if (value != Math.rint(value) || value < minimum || value > maximum) {
            throw invalid(path, "must be a whole number from $minimum to $maximum")
        }
        return value.toInt()
    }

    /** Returns the tables in the list at [path], or an empty list if there is no value at [path]. */
    fun tables(path: String): List<TomlTable> {
        val list = table.get<Any?>(path) ?: return emptyList()
        if (list !is List<*>) throw invalid(path, "not a list of tables")
        return list.mapIndexed { index, element ->
            val row = element as? UnmodifiableConfig ?: throw invalid(path, "not a list of tables")
            TomlTable(row, "$path[$index].")
        }
    }

    /** Returns the address at [path], which must have the form `HOST:PORT`. */
    fun address(path: String): InetSocketAddress {
        val text = string(path)
        val colon = text.lastIndexOf(':')
        val port = text.substring(colon + 1).toIntOrNull()
        if (colon <= 0 || port == null || port !in 1..MAX_PORT) throw invalid(path, "not host:port")
        return InetSocketAddress(text.substring(0, colon), port)
    }

    private fun required(path: String): Any = table.get<Any?>(path) ?: throw invalid(path, "missing")

    private fun invalid(path: String, reason: String) = InvalidSettingsException("$prefix$path: $reason")

    private companion object {
        const val MAX_PORT = 65_535
    }
}
