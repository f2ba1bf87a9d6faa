package mountmast.protocol

import kotlinx.serialization.json.Json

/** The form of every JSON body and stored value: unknown fields are ignored when read, nulls and defaults are left out when written. */
val WireJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = false
}
