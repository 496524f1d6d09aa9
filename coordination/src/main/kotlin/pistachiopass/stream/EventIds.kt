/**
 * Event ids of answer streams, under a message authentication code.
 *
 * An id tells where the engine keeps the stream and how far the caller has read, so that any instance can take the
 * stream up with no state shared. The code covers the workspace too, so that an id of one workspace is of no use to
 * another.
 */
package pistachiopass.stream

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.WorkspaceId
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Tells where an engine keeps an answer stream and on which route it was asked for. */
@Serializable
public data class StreamLocation(
    val endpoint: EndpointId,
    /** The engine's name of the stream. */
    val streamId: String,
    /** The id under which the engine's load report lists the request. */
    val leaseId: RequestId,
    val route: RouteName,
)

/** Names a place in a stream: the next chunk wanted and the time that the request had taken when the id was given. */
public data class StreamPosition(val location: StreamLocation, val nextOffset: Long, val elapsedMillis: Long)

/** Writes and reads event ids with a key derived from the key that all instances share. */
public class EventIds internal constructor(private val key: SecretKeySpec) {
    /** Returns a writer of ids for one stream; it is not safe for use by several coroutines at a time. */
    public fun writerOf(location: StreamLocation, workspace: WorkspaceId): EventIdWriter =
        EventIdWriter(encodeLocation(location), workspace, newMac())

    /** Returns the position that [eventId] names, or null when it is malformed, forged or of another workspace. */
    public fun positionOrNull(eventId: String, workspace: WorkspaceId): StreamPosition? {
        val text = eventId.substringBeforeLast(SEPARATOR, missingDelimiterValue = "")
        val received = eventId.substringAfterLast(SEPARATOR)
        val expected = macOf(newMac(), text, workspace)
        val authentic = MessageDigest.isEqual(expected.encodeToByteArray(), received.encodeToByteArray())
        return if (authentic) decodePositionOrNull(text.split(SEPARATOR)) else null
    }

    private fun newMac(): Mac = Mac.getInstance(MAC_ALGORITHM).apply { init(key) }
}

/** Writes the ids of one stream. */
public class EventIdWriter internal constructor(
    private val location: String,
    private val workspace: WorkspaceId,
    private val mac: Mac,
) {
    /** Returns the id of the event after which the chunk at [nextOffset] is the next one wanted. */
    public fun idOf(nextOffset: Long, elapsedMillis: Long): String {
        val text = "$location$SEPARATOR$nextOffset$SEPARATOR$elapsedMillis"
        return "$text$SEPARATOR${macOf(mac, text, workspace)}"
    }
}

/** Returns event ids under a key derived from [sharedKey], which must hold at least 32 bytes. */
public fun eventIdsOf(sharedKey: ByteArray): EventIds {
    require(
        sharedKey.size >= MIN_KEY_BYTES
    ) { "sharedKey must hold at least $MIN_KEY_BYTES bytes, has ${sharedKey.size}" }
    val mac = Mac.getInstance(MAC_ALGORITHM).apply { init(SecretKeySpec(sharedKey, MAC_ALGORITHM)) }
    return EventIds(SecretKeySpec(mac.doFinal(KEY_PURPOSE.encodeToByteArray()), MAC_ALGORITHM))
}

private fun macOf(mac: Mac, text: String, workspace: WorkspaceId): String {
    mac.update(workspace.value.encodeToByteArray())
    mac.update(0)
    return base64.encodeToString(mac.doFinal(text.encodeToByteArray()).copyOf(MAC_BYTES))
}

@OptIn(ExperimentalSerializationApi::class)
private fun encodeLocation(location: StreamLocation): String = base64.encodeToString(Cbor.encodeToByteArray(location))

@OptIn(ExperimentalSerializationApi::class)
private fun decodePositionOrNull(parts: List<String>): StreamPosition? =
    try {
        val (location, nextOffset, elapsedMillis) = parts
        val decoded = Cbor.decodeFromByteArray<StreamLocation>(Base64.getUrlDecoder().decode(location))
        StreamPosition(decoded, nextOffset.toLong(), elapsedMillis.toLong())
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }

private val base64: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
private const val SEPARATOR: Char = '.'
private const val MAC_ALGORITHM: String = "HmacSHA256"
private const val KEY_PURPOSE: String = "pistachiopass event ids"
private const val MIN_KEY_BYTES: Int = 32
private const val MAC_BYTES: Int = 16
