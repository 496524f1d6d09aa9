/** The entries of a ledger, and their serialized form for the move to another instance. */
package pistachiopass.booking

import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.Serializable
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** The keys of a sealed ledger, and the incarnations that issued them. */
@Serializable
public data class LedgerExport(val issuers: List<Incarnation>, val keys: List<ExportedKey>)

/** One key of an exported ledger; without an [outcome], its booking has not run. */
@Serializable
public data class ExportedKey(
    val issuer: Incarnation,
    val sequence: Long,
    val remainingMillis: Long,
    val digest: PayloadDigest? = null,
    val outcome: BookingOutcome? = null,
)

internal enum class KeyState { ISSUED, RUNNING, ENDED }

internal data class LedgerKey(val issuer: Incarnation, val sequence: Long)

internal class LedgerEntry(var state: KeyState, var expiresAt: ComparableTimeMark) {
    var digest: PayloadDigest? = null
    var outcome: BookingOutcome? = null
    var running: CompletableDeferred<BookingOutcome>? = null

    fun hasExpired(): Boolean = state != KeyState.RUNNING && expiresAt.hasPassedNow()

    fun heldBytes(): Long = ENTRY_BYTES + (outcome?.heldBytes() ?: 0)

    fun toExported(key: LedgerKey): ExportedKey = ExportedKey(
        key.issuer,
        key.sequence,
        remainingMillis = -expiresAt.elapsedNow().inWholeMilliseconds,
        digest,
        outcome = if (state == KeyState.RUNNING) interruptedOutcome() else outcome,
    )

    private fun interruptedOutcome(): BookingOutcome = BookingOutcome.Failed(
        Failure(FailureCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, "the instance stopped before the service answered"),
    )
}

internal fun BookingKey.toLedgerKey(): LedgerKey = LedgerKey(issuer, sequence)

internal fun ExportedKey.heldBytes(): Long = ENTRY_BYTES + (outcome?.heldBytes() ?: 0)

internal fun ExportedKey.toEntry(now: ComparableTimeMark): LedgerEntry {
    val state = if (outcome == null) KeyState.ISSUED else KeyState.ENDED
    return LedgerEntry(state, now + remainingMillis.milliseconds).also {
        it.digest = digest
        it.outcome = outcome
    }
}

internal fun BookingOutcome.heldBytes(): Long = when (this) {
    is BookingOutcome.Response -> body.size + headers.sumOf { it.name.length + it.value.length.toLong() }
    is BookingOutcome.Failed -> failure.message.length.toLong()
}

/** Returns this outcome, or a failure with the verdict `ran` if it is a response of more than [maxBytes]. */
internal fun BookingOutcome.limitedTo(maxBytes: Int): BookingOutcome =
    if (this is BookingOutcome.Response && heldBytes() > maxBytes) {
        val message = "the service answered $status with ${heldBytes()} bytes; at most $maxBytes bytes are recorded"
        BookingOutcome.Failed(Failure(FailureCode.ENDPOINT_FAILED, Verdict.RAN, message))
    } else {
        this
    }

/** The outcome of a booking that is not started because the ledger has no memory for its response. */
internal val NO_ROOM_OUTCOME: BookingOutcome = BookingOutcome.Failed(
    Failure(
        FailureCode.OVERLOADED,
        Verdict.NOT_RUN,
        "the instance has no memory left to record another answer",
        retryAfterMillis = 1_000,
    ),
)

/** Memory that is counted for an entry without its outcome. */
internal const val ENTRY_BYTES: Long = 384
