package mountmast.coordination.election

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import mountmast.protocol.ModRevision
import mountmast.protocol.WireJson
import mountmast.storage.Keys
import mountmast.storage.LeaderRecord
import mountmast.storage.StateStore

/** The state of the leader key, which is attached to the leader's store lease and is deleted when that lease expires. */
internal sealed interface LeaderKey {
    /** The leader key does not exist: no node leads. */
    data object Vacant : LeaderKey

    /** The value of the leader key cannot be decoded; a later version of this program may have written it. */
    data object Unreadable : LeaderKey

    /** The process named by [record] leads; the leader key was last modified at [modRevision]. */
    data class Held(val record: LeaderRecord, val modRevision: ModRevision) : LeaderKey
}

/** Reads the leader key; throws [mountmast.storage.StoreException] if the store refuses the call or does not answer it. */
internal fun StateStore.readLeaderKey(): LeaderKey {
    val entry = get(Keys.LEADER) ?: return LeaderKey.Vacant
    val record = decodeLeaderRecord(entry.value) ?: return LeaderKey.Unreadable
    return LeaderKey.Held(record, entry.modRevision)
}

private fun decodeLeaderRecord(value: JsonElement): LeaderRecord? = try {
    WireJson.decodeFromJsonElement<LeaderRecord>(value)
} catch (e: IllegalArgumentException) {
    null
}
