package mountmast.coordination.state

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.WireJson
import org.slf4j.LoggerFactory

/** Reads records of the state service; one that cannot be read is logged and left out. */
object RecordDecoder {
    @PublishedApi
    internal val log = LoggerFactory.getLogger("mountmast.leader")

    /** Returns the record that [key] holds as [value], or null if it cannot be read. */
    inline fun <reified T> decode(key: String, value: JsonElement): T? = try {
        WireJson.decodeFromJsonElement<T>(value)
    } catch (e: IllegalArgumentException) {
        log.error("unreadable record key={}: {}", key, e.message)
        null
    }
}
