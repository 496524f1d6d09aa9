/** Frames of the peer protocol after the handshake, encoded as CBOR. */
package pistachiopass.entry.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.StartId
import pistachiopass.peer.PeerCbor
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.decodePeerCborOrNull

/** One message on the connection between two instances. */
@Serializable
internal sealed interface Frame {
    /**
     * Requests a response with the same [callId]; if [startId] is given, only that incarnation of the receiver may
     * handle the call.
     */
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

    /** Answers the call with the same [callId]. */
    @Serializable
    @SerialName("response")
    class Response(val callId: Long, val typeName: String, val payload: ByteArray) : Frame

    /** Answers a call that gets no response; [handled] tells whether its handler was started. */
    @Serializable
    @SerialName("refusal")
    class Refusal(val callId: Long, val code: PeerFailureCode, val handled: Boolean) : Frame

    /** Keeps an idle connection from exceeding the read-idle limit of the receiver. */
    @Serializable
    @SerialName("keep-alive")
    data object KeepAlive : Frame

    /** Ends the handshake: the peer is accepted. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : Frame

    /** Ends the handshake: a newer incarnation of the peer is known, so the connection is refused. */
    @Serializable
    @SerialName("earlier-life")
    data object EarlierIncarnation : Frame
}

/** Returns [frame] encoded as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(frame: Frame): ByteArray = PeerCbor.encodeToByteArray(Frame.serializer(), frame)

/** Returns the frame that [body] holds, or null when it is malformed. */
internal fun decodeFrameOrNull(body: ByteArray): Frame? = decodePeerCborOrNull(Frame.serializer(), body)
