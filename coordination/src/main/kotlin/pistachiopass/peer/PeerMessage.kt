/**
 * Messages between instances: a type name and a CBOR payload.
 *
 * Each package declares a [PeerMessageType] for each of its message classes and registers a handler for it with the
 * [PeerTransport]; the transport itself knows none of the classes. A payload that cannot be decoded is reported as
 * null, since a peer of another version may have sent it.
 */
package pistachiopass.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.serializer
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId

/** One message as it is sent: the name of its type and its payload in CBOR. */
public class PeerMessage(public val typeName: String, public val payload: ByteArray) {
    override fun toString(): String = "$typeName(${payload.size} bytes)"
}

/** A type of message: its [name], unique over all packages, and the serializer of its payload. */
public class PeerMessageType<T>(public val name: String, private val serializer: KSerializer<T>) {
    /** Returns [value] as a message of this type. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun encode(value: T): PeerMessage = PeerMessage(name, PeerCbor.encodeToByteArray(serializer, value))

    /** Returns the value in [message], or null when it is of another type or malformed. */
    public fun decodeOrNull(message: PeerMessage): T? =
        if (message.typeName == name) decodePeerCborOrNull(serializer, message.payload) else null

    override fun toString(): String = name
}

/** Returns the message type of the serializable class [T]. */
public inline fun <reified T> peerMessageTypeOf(name: String): PeerMessageType<T> = PeerMessageType(name, serializer())

/** The identity of the sender of a message: the instance, its data centre and the start id of its incarnation. */
public data class PeerIdentity(val instance: InstanceId, val dataCentre: DataCentreId, val startId: StartId)

/** A message and the authenticated identity of its sender. */
public class ReceivedMessage(public val sender: PeerIdentity, public val message: PeerMessage)

/** The CBOR format of payloads and frames; unknown fields are ignored, so that peers may be one version apart. */
@OptIn(ExperimentalSerializationApi::class)
public val PeerCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
}

/** Returns the value that [bytes] hold in the format [PeerCbor], or null when they are malformed. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> decodePeerCborOrNull(serializer: KSerializer<T>, bytes: ByteArray): T? =
    try {
        PeerCbor.decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IllegalStateException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }
