/** Receives the ledgers of stopping instances. */
package pistachiopass.booking

/**
 * Collects the parts of each ledger and adopts the complete ledger once.
 *
 * The decision on a ledger is final: a late or repeated part changes nothing. The sender may therefore choose another
 * successor after a refusal.
 */
public class LedgerReceiver internal constructor(private val ledger: BookingLedger) {
    private val collected: HashMap<Incarnation, MutableMap<Int, LedgerExport>> = HashMap()
    private val decided: HashMap<Incarnation, MoveState> = HashMap()

    /** Accepts one part of a ledger and returns the state of the move. */
    @Synchronized
    public fun receive(move: MoveCall): MoveState {
        decided[move.from]?.let { return it }
        val parts = collected.getOrPut(move.from) { HashMap() }
        parts[move.part] = move.ledger
        return when {
            collected.size > MAX_CONCURRENT_MOVES -> decide(move.from, MoveState.REFUSED)
            parts.size < move.parts -> MoveState.INCOMPLETE
            else -> decide(move.from, if (ledger.adopt(merge(parts))) MoveState.ADOPTED else MoveState.REFUSED)
        }
    }

    private fun decide(from: Incarnation, state: MoveState): MoveState {
        collected.remove(from)
        decided[from] = state
        return state
    }

    private fun merge(parts: Map<Int, LedgerExport>): LedgerExport =
        LedgerExport(parts.values.flatMap { it.issuers }.distinct(), parts.values.flatMap { it.keys })
}

private const val MAX_CONCURRENT_MOVES: Int = 16
