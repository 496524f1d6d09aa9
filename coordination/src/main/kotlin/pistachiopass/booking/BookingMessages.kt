/** Messages between instances about bookings. */
package pistachiopass.booking

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf

/** Asks the holder of [key] for the outcome of a booking, to be given within [waitMillis]. */
@Serializable
public class RunCall(public val key: String, public val request: BookingRequest, public val waitMillis: Long)

/** Answers a [RunCall]. */
@Serializable
public sealed interface RunReply {
    /** The holder's word on the booking. */
    @Serializable
    @SerialName("done")
    public data class Done(val outcome: BookingOutcome) : RunReply

    /** The key has not run here and never will; [holder] holds it if anyone does. */
    @Serializable
    @SerialName("moved")
    public data class Moved(val holder: Incarnation) : RunReply

    /** The keys of the issuer are not held here. */
    @Serializable
    @SerialName("not-here")
    public data object NotHere : RunReply
}

/** Asks whether a peer holds the keys of [issuer] or knows who does. */
@Serializable
public data class LocateCall(val issuer: Incarnation)

/** Answers a [LocateCall]; [holder] is null when the peer does not know. */
@Serializable
public data class LocateReply(val holder: Incarnation? = null)

/** Asks a peer whether it would take over a ledger; nothing is moved yet. */
@Serializable
public data class OfferCall(val from: Incarnation)

/** Answers an [OfferCall] with the life that would take the ledger. */
@Serializable
public data class OfferReply(val accepts: Boolean, val successor: Incarnation)

/** Carries a part of the sealed ledger of [from]: number [part], from 0, of [parts]. */
@Serializable
public data class MoveCall(val from: Incarnation, val part: Int, val parts: Int, val ledger: LedgerExport)

/** Answers a [MoveCall]. */
@Serializable
public data class MoveReply(val state: MoveState)

/** Tells what a successor has done with a ledger. */
@Serializable
public enum class MoveState {
    /** Parts are missing; nothing of the ledger is in force yet. */
    @SerialName("incomplete")
    INCOMPLETE,

    /** The whole ledger is in force here. */
    @SerialName("adopted")
    ADOPTED,

    /** Nothing of the ledger was in force here, and nothing of it ever will be. */
    @SerialName("refused")
    REFUSED,
}

/** Tells peers that the keys of [issuers] are held by [holder]. */
@Serializable
public data class MovedNotice(val issuers: List<Incarnation>, val holder: Incarnation)

internal val RUN_CALL: PeerMessageType<RunCall> = peerMessageTypeOf("booking-run")
internal val RUN_REPLY: PeerMessageType<RunReply> = peerMessageTypeOf("booking-run-reply")
internal val LOCATE_CALL: PeerMessageType<LocateCall> = peerMessageTypeOf("booking-locate")
internal val LOCATE_REPLY: PeerMessageType<LocateReply> = peerMessageTypeOf("booking-locate-reply")
internal val OFFER_CALL: PeerMessageType<OfferCall> = peerMessageTypeOf("ledger-offer")
internal val OFFER_REPLY: PeerMessageType<OfferReply> = peerMessageTypeOf("ledger-offer-reply")
internal val MOVE_CALL: PeerMessageType<MoveCall> = peerMessageTypeOf("ledger-move")
internal val MOVE_REPLY: PeerMessageType<MoveReply> = peerMessageTypeOf("ledger-move-reply")
internal val MOVED_NOTICE: PeerMessageType<MovedNotice> = peerMessageTypeOf("ledger-moved")
