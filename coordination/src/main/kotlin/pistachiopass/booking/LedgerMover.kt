/**
 * Moves the ledger of a stopping instance to one successor.
 *
 * The successor is the incarnation that accepted the offer; it is fixed before any key is sent to it. Another one is
 * chosen only after a refusal, which guarantees that the first holds no key and never will. If the successor does not
 * answer, no other instance gets the ledger.
 */
package pistachiopass.booking

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Instance
import pistachiopass.model.InstanceState
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call
import pistachiopass.peer.sendToAll
import pistachiopass.routing.rankedFor

/** How a move ended. */
public enum class MoveOutcome {
    /** The ledger held no keys. */
    EMPTY,

    /** The successor confirmed that it holds the ledger. */
    ADOPTED,

    /** The successor did not confirm; it may hold the ledger, and no other instance does. */
    UNKNOWN,

    /** No instance took over the ledger. */
    NO_SUCCESSOR,
}

/** Decides whether another successor may be tried after a failed move. */
public fun interface SuccessorRule {
    /** Returns whether another successor may be tried; [state] is the last answer of the first, null for none. */
    public fun mayTryAnother(state: MoveState?): Boolean
}

/** Allows another successor only after a refusal. */
public val afterRefusal: SuccessorRule = SuccessorRule { it == MoveState.REFUSED }

/** Moves [ledger] to a live instance of the own data centre. */
public class LedgerMover internal constructor(
    private val transport: PeerTransport,
    private val ledger: BookingLedger,
    private val runner: BookingRunner,
    private val instances: () -> List<Instance>,
    private val events: BookingEvents,
    private val rule: SuccessorRule,
) {
    private val self: Incarnation = ledger.self

    /** Seals the ledger; running bookings continue. */
    public fun seal() {
        ledger.seal()
        events.sealed(ledger.keyCount)
    }

    /** Moves the sealed ledger within [timeoutMillis] and announces its new holder to all peers. */
    public suspend fun move(timeoutMillis: Long): MoveOutcome {
        val export = ledger.export()
        if (export.keys.isEmpty()) return MoveOutcome.EMPTY
        var successor: Incarnation? = null
        val outcome = withTimeoutOrNull(timeoutMillis) { tryCandidates(export) { successor = it } }
            ?: if (successor == null) MoveOutcome.NO_SUCCESSOR else MoveOutcome.UNKNOWN
        events.moved(outcome, successor)
        return outcome
    }

    /** Calls [onChosen] with each successor before any key is sent to it, and with null when another may be tried. */
    private suspend fun tryCandidates(export: LedgerExport, onChosen: (Incarnation?) -> Unit): MoveOutcome {
        repeat(OFFER_ROUNDS) {
            for (candidate in candidates()) {
                val chosen = successorOrNull(candidate) ?: continue
                onChosen(chosen)
                sendLedger(chosen, export)?.let { return it }
                onChosen(null)
            }
            if (candidates().isNotEmpty()) delay(RETRY_DELAY_MILLIS)
        }
        return MoveOutcome.NO_SUCCESSOR
    }

    private fun candidates(): List<Instance> = instances()
        .filter { it.dataCentre == self.dataCentre && it.state == InstanceState.LIVE && it.id != self.instance }
        .rankedFor(self.startId.value) { it.id.value }

    private suspend fun successorOrNull(candidate: Instance): Incarnation? =
        transport.call(candidate.id, OFFER_CALL.encode(OfferCall(self)), OFFER_REPLY, OFFER_TIMEOUT_MILLIS)
            .get()
            ?.takeIf { it.accepts }
            ?.successor

    /** Returns how the move to [successor] ended, or null when another successor may be tried. */
    private suspend fun sendLedger(successor: Incarnation, export: LedgerExport): MoveOutcome? {
        runner.setSuccessor(successor)
        val parts = export.splitIntoParts()
        var state: MoveState? = null
        for (part in parts.indices) {
            state = sendPart(successor, MoveCall(self, part, parts.size, parts[part]))
            if (state != MoveState.INCOMPLETE) break
        }
        if (state == MoveState.ADOPTED) notifyPeers(successor, export.issuers)
        if (state != MoveState.ADOPTED && rule.mayTryAnother(state)) return null
        return if (state == MoveState.ADOPTED) MoveOutcome.ADOPTED else MoveOutcome.UNKNOWN
    }

    /** Sends a part until it is answered; returns null if it is not and [rule] allows another successor. */
    private suspend fun sendPart(successor: Incarnation, part: MoveCall): MoveState? {
        val message = MOVE_CALL.encode(part)
        while (true) {
            val reply = transport
                .call(successor.instance, message, MOVE_REPLY, PART_TIMEOUT_MILLIS, successor.startId)
                .get()
            if (reply != null || rule.mayTryAnother(null)) return reply?.state
            delay(RETRY_DELAY_MILLIS)
        }
    }

    private suspend fun notifyPeers(successor: Incarnation, issuers: List<Incarnation>) {
        val peers = instances().map { it.id }.filter { it != self.instance }
        withTimeoutOrNull(NOTICE_TIMEOUT_MILLIS) {
            transport.sendToAll(peers, MOVED_NOTICE.encode(MovedNotice(issuers, successor)))
        }
    }
}

private fun LedgerExport.splitIntoParts(): List<LedgerExport> {
    val parts = ArrayList<LedgerExport>()
    var bytes = 0L
    var keys = ArrayList<ExportedKey>()
    for (key in this.keys) {
        if (keys.isNotEmpty() && bytes + key.heldBytes() > MAX_PART_BYTES) {
            parts += LedgerExport(issuers, keys)
            keys = ArrayList()
            bytes = 0
        }
        keys += key
        bytes += key.heldBytes()
    }
    return parts + LedgerExport(issuers, keys)
}

private const val MAX_PART_BYTES: Long = 1_000_000
private const val OFFER_TIMEOUT_MILLIS: Long = 1_000
private const val PART_TIMEOUT_MILLIS: Long = 1_000
private const val RETRY_DELAY_MILLIS: Long = 100
private const val OFFER_ROUNDS: Int = 3
private const val NOTICE_TIMEOUT_MILLIS: Long = 1_000
