package mountmast.coordination.state

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.WireJson
import org.slf4j.LoggerFactory

/** Decodes records of the state service. A record that cannot be decoded is logged and skipped. */
object RecordDecoder {
    @PublishedApi
    internal val log = LoggerFactory.getLogger("mountmast.leader")

    /** Returns the record that is stored as [value] under [key], or null if it cannot be decoded. */
    inline fun <reified T> decode(key: String, value: JsonElement): T? = try {
        WireJson.decodeFromJsonElement<T>(value)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable record key={}: {}", key, e.message)
        null
    }
}
