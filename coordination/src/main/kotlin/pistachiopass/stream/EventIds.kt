/**
 * Event ids of answer streams, protected by a message authentication code (MAC).
 *
 * An id contains the location of the stream at its engine and the position of the caller, so any instance can resume
 * the stream without shared state. The MAC also covers the workspace, so an id of one workspace is invalid in another.
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

/** Where an engine keeps an answer stream, and on which route it was requested. */
@Serializable
public data class StreamLocation(
    val endpoint: EndpointId,
    /** The engine's id of the stream. */
    val streamId: String,
    /** The id under which the engine's load report lists the request. */
    val leaseId: RequestId,
    val route: RouteName,
)

/** A position in a stream: the offset of the next chunk, and the age of the request when the event id was issued. */
public data class StreamPosition(val location: StreamLocation, val nextOffset: Long, val elapsedMillis: Long)

/** Writes and reads event ids with a key that is derived from the key shared by all instances. */
public class EventIds internal constructor(private val key: SecretKeySpec) {
    /** Returns a writer of event ids for one stream; the writer is not thread-safe. */
    public fun writerOf(location: StreamLocation, workspace: WorkspaceId): EventIdWriter =
        EventIdWriter(encodeLocation(location), workspace, newMac())

    /** Returns the position in [eventId], or null if the id is malformed, forged or of another workspace. */
    public fun positionOrNull(eventId: String, workspace: WorkspaceId): StreamPosition? {
        val text = eventId.substringBeforeLast(SEPARATOR, missingDelimiterValue = "")
        val received = eventId.substringAfterLast(SEPARATOR)
        val expected = macOf(newMac(), text, workspace)
        val authentic = MessageDigest.isEqual(expected.encodeToByteArray(), received.encodeToByteArray())
        return if (authentic) decodePositionOrNull(text.split(SEPARATOR)) else null
    }

    private fun newMac(): Mac = Mac.getInstance(MAC_ALGORITHM).apply { init(key) }
}

/** Writes the event ids of one stream. */
public class EventIdWriter internal constructor(
    private val location: String,
    private val workspace: WorkspaceId,
    private val mac: Mac,
) {
    /** Returns the id of the event after which the caller resumes with the chunk at [nextOffset]. */
    public fun idOf(nextOffset: Long, elapsedMillis: Long): String {
        val text = "$location$SEPARATOR$nextOffset$SEPARATOR$elapsedMillis"
        return "$text$SEPARATOR${macOf(mac, text, workspace)}"
    }
}

/** Returns event ids with a key that is derived from [sharedKey], which must have at least 32 bytes. */
public fun eventIdsOf(sharedKey: ByteArray): EventIds {
    require(
        sharedKey.size >= MIN_KEY_BYTES
    ) { "sharedKey must have at least $MIN_KEY_BYTES bytes, was ${sharedKey.size}" }
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
