/** Messages between instances that forward bookings and move ledgers. */
package pistachiopass.booking

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.peerMessageTypeOf

/** Asks the holder of [key] to run [request] or return its recorded outcome, within [waitMillis]. */
@Serializable
public class RunCall(public val key: String, public val request: BookingRequest, public val waitMillis: Long)

/** Answers a [RunCall]. */
@Serializable
public sealed interface RunReply {
    /** The holder's answer: [outcome] is the outcome of the booking. */
    @Serializable
    @SerialName("done")
    public data class Done(val outcome: BookingOutcome) : RunReply

    /** The booking has not run here and never will; if any incarnation holds the key, it is [holder]. */
    @Serializable
    @SerialName("moved")
    public data class Moved(val holder: Incarnation) : RunReply

    /** The keys of the issuer are not held here. */
    @Serializable
    @SerialName("not-here")
    public data object NotHere : RunReply
}

/** Asks a peer which incarnation holds the keys of [issuer]. */
@Serializable
public data class LocateCall(val issuer: Incarnation)

/** Answers a [LocateCall]; [holder] is null when the peer does not know it. */
@Serializable
public data class LocateReply(val holder: Incarnation? = null)

/** Asks a peer whether it would take over the ledger of [from]; no key is moved by this call. */
@Serializable
public data class OfferCall(val from: Incarnation)

/** Answers an [OfferCall]; [successor] is the incarnation of the peer that would take over the ledger. */
@Serializable
public data class OfferReply(val accepts: Boolean, val successor: Incarnation)

/** Carries one part of the sealed ledger of [from]; [part] counts from 0 and is below [parts]. */
@Serializable
public data class MoveCall(val from: Incarnation, val part: Int, val parts: Int, val ledger: LedgerExport)

/** Answers a [MoveCall]. */
@Serializable
public data class MoveReply(val state: MoveState)

/** The state of a move at the successor. */
@Serializable
public enum class MoveState {
    /** Parts are missing; no key of the ledger is held here yet. */
    @SerialName("incomplete")
    INCOMPLETE,

    /** All keys of the ledger are held here. */
    @SerialName("adopted")
    ADOPTED,

    /** No key of the ledger is held here, and none ever will be. */
    @SerialName("refused")
    REFUSED,
}

/** Announces that [holder] holds the keys of [issuers]. */
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
