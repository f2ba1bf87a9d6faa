package mountmast.protocol

import kotlinx.serialization.json.Json

/**
 * Serialization of every JSON body and stored value. Reading ignores unknown fields, which a later version may have written; writing
 * leaves out nulls and fields that have their default value. An enum value that the reader does not know makes reading fail.
 */
val WireJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = false
}
