/** Frames of the peer protocol after the handshake, as CBOR. */
package pistachiopass.entry.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.StartId
import pistachiopass.peer.PeerCbor
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.decodePeerCborOrNull

/** One unit of the protocol. */
@Serializable
internal sealed interface Frame {
    /** Asks for a response with the same [callId]; only the life [startId] may handle it, where given. */
    @Serializable
    @SerialName("call")
    class Call(
        val callId: Long,
        val typeName: String,
        val payload: ByteArray,
        val startId: StartId? = null,
    ) : Frame

    /** Carries a one-way message. */
    @Serializable
    @SerialName("notice")
    class Notice(val typeName: String, val payload: ByteArray, val startId: StartId? = null) : Frame

    /** Answers a call. */
    @Serializable
    @SerialName("response")
    class Response(val callId: Long, val typeName: String, val payload: ByteArray) : Frame

    /** Says that a call got no response; [handled] tells whether its handler was started. */
    @Serializable
    @SerialName("refusal")
    class Refusal(val callId: Long, val code: PeerFailureCode, val handled: Boolean) : Frame

    /** Keeps an idle connection from being given up. */
    @Serializable
    @SerialName("keep-alive")
    data object KeepAlive : Frame

    /** Ends the handshake: the peer is accepted. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : Frame

    /** Ends the handshake: the peer is known in a newer life. */
    @Serializable
    @SerialName("earlier-life")
    data object EarlierIncarnation : Frame
}

/** Returns the CBOR form of a frame. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(frame: Frame): ByteArray = PeerCbor.encodeToByteArray(Frame.serializer(), frame)

/** Returns the frame that [body] holds, or null when it is malformed. */
internal fun decodeFrameOrNull(body: ByteArray): Frame? = decodePeerCborOrNull(Frame.serializer(), body)
