/**
 * The ledger of one incarnation: the state of each idempotency key that it issued or took over from a stopped one.
 *
 * A key is first issued, then running, then ended, and its booking runs at most once. A key whose booking is reported
 * as `not run` has ended too, so that a delayed earlier request with the key cannot run the booking afterwards. Keys
 * are removed only when they expire: a full ledger issues no new keys instead. A sealed ledger never starts a run.
 */
package pistachiopass.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Limits of a ledger. */
public data class LedgerLimits(
    /** Maximum number of keys; a ledger that holds as many issues no more. */
    val keys: Int = 10_000,
    /**
     * Maximum memory of keys, recorded outcomes and running bookings; a ledger that holds as much issues no more keys.
     * Adopted keys and running bookings may take several times as much.
     */
    val bytes: Long = DEFAULT_MEBIBYTES * MEBIBYTE_BYTES,
    /** Maximum size of the body of a booking, and of a response that is recorded. */
    val recordBytes: Int = DEFAULT_RECORD_KIBIBYTES * KIBIBYTE_BYTES,
    /** Time after which an unused key expires, and after which a recorded outcome is removed. */
    val keyMillis: Long = 3_600_000,
) {
    /** Memory reserved for a running booking: its request and its response. */
    internal val runningBytes: Long get() = 2L * recordBytes
}

/** The result of claiming a key for a request: how the request is to be handled. */
public sealed interface Claim {
    /** The caller must run the booking and then call [BookingLedger.finish], which completes [outcome]. */
    public class Run(public val outcome: Deferred<BookingOutcome>) : Claim

    /** The booking is already running for another request; [outcome] completes when the run ends. */
    public class Wait(public val outcome: Deferred<BookingOutcome>) : Claim

    /** The booking has ended with [outcome]. */
    public class Recorded(public val outcome: BookingOutcome) : Claim

    /** The booking is not run for this request, for the stated reason. */
    public enum class Refused : Claim {
        /** The key was used before with another payload. */
        REUSED,

        /** The key has expired, and it is no longer known whether its booking ran. */
        FORGOTTEN,

        /** The ledger is sealed; the booking has not run here and never will. */
        SEALED,

        /** The ledger does not hold the keys of the issuer. */
        NOT_HERE,
    }
}

/** The reason why no key was issued. */
public enum class IssueRefusal {
    /** The ledger has reached its limit of keys or memory. */
    FULL,

    /** The ledger is sealed. */
    SEALED,
}

/** Returns an empty ledger of [self]. */
public fun bookingLedgerOf(
    self: Incarnation,
    limits: LedgerLimits = LedgerLimits(),
    clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
): BookingLedger = BookingLedger(self, limits, clock)

/** Holds the state of idempotency keys; thread-safe. */
public class BookingLedger internal constructor(
    public val self: Incarnation,
    private val limits: LedgerLimits,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val start: ComparableTimeMark = clock.markNow()
    private val entries: LedgerEntries = LedgerEntries()
    private val issuers: LinkedHashSet<Incarnation> = linkedSetOf(self)
    private var lastSequence: Long = 0
    private var running: Int = 0
    private var sealed: Boolean = false

    private val expiry: ComparableTimeMark get() = clock.markNow() + limits.keyMillis.milliseconds

    private val reservedBytes: Long get() = running * limits.runningBytes

    /** Whether the ledger is sealed, see [seal]. */
    public val isSealed: Boolean @Synchronized get() = sealed

    /** Memory of the held keys and outcomes, including what is reserved for running bookings. */
    public val heldBytes: Long @Synchronized get() = entries.bytes + reservedBytes

    /** Number of keys in the ledger. */
    public val keyCount: Int @Synchronized get() = entries.size

    /** Number of bookings that are running. */
    public val runningCount: Int @Synchronized get() = running

    /** Issues a new key and returns it, or returns the reason why none is issued. */
    @Synchronized
    public fun issue(): Result<BookingKey, IssueRefusal> {
        entries.removeExpired()
        val isFull = entries.size >= limits.keys || heldBytes + ENTRY_BYTES > limits.bytes
        if (sealed || isFull) return Err(if (sealed) IssueRefusal.SEALED else IssueRefusal.FULL)
        val key = BookingKey(self, ++lastSequence, start.elapsedNow().inWholeMilliseconds + limits.keyMillis)
        entries.put(key.toLedgerKey(), LedgerEntry(KeyState.ISSUED, expiry))
        return Ok(key)
    }

    /** Claims [key] for a request whose payload has [digest] and returns how to handle the request. */
    @Synchronized
    public fun claim(key: BookingKey, digest: PayloadDigest): Claim {
        entries.removeExpired()
        val entry = entries[key.toLedgerKey()]
        return when {
            key.issuer !in issuers -> Claim.Refused.NOT_HERE
            entry == null || entry.hasExpired() -> Claim.Refused.FORGOTTEN
            entry.digest != null && entry.digest != digest -> Claim.Refused.REUSED
            else -> claimHeld(key.toLedgerKey(), entry, digest)
        }
    }

    /** Ends the run of [key] and records [outcome]; a response above the size limit is recorded as a failure. */
    @Synchronized
    public fun finish(key: BookingKey, outcome: BookingOutcome) {
        val entry = checkNotNull(entries[key.toLedgerKey()]) { "key ${key.sequence} of ${key.issuer} is not held" }
        check(entry.state == KeyState.RUNNING) { "key ${key.sequence} is ${entry.state}; expected RUNNING" }
        val recorded = outcome.limitedTo(limits.recordBytes)
        running--
        entries.record(key.toLedgerKey(), recorded, expiry)
        entry.running?.complete(recorded)
        entry.running = null
    }

    /** Stops the ledger for good from issuing keys and from starting runs. */
    @Synchronized
    public fun seal() {
        sealed = true
    }

    /** Returns all keys of a sealed ledger; one that is still running gets an outcome of `may have run`. */
    @Synchronized
    public fun export(): LedgerExport {
        check(sealed) { "the ledger is not sealed" }
        entries.removeExpired()
        return LedgerExport(issuers.toList(), entries.toExported())
    }

    /** Adds all keys of a sealed ledger; adds none and returns false if they do not fit or this ledger is sealed. */
    @Synchronized
    public fun adopt(moved: LedgerExport): Boolean {
        entries.removeExpired()
        val addedBytes = moved.keys.sumOf { it.heldBytes() }
        val hasRoom = entries.size + moved.keys.size <= limits.keys * ADOPTION_FACTOR &&
            heldBytes + addedBytes <= limits.bytes * ADOPTION_FACTOR
        if (sealed || !hasRoom) return false
        check(moved.keys.none { entries[LedgerKey(it.issuer, it.sequence)] != null }) { "a moved key is already held" }
        issuers += moved.issuers
        while (issuers.size > MAX_ISSUERS) issuers.remove(issuers.first { it != self })
        moved.keys.forEach { entries.put(LedgerKey(it.issuer, it.sequence), it.toEntry(clock.markNow())) }
        return true
    }

    /** Returns whether this ledger holds the keys that [issuer] issued. */
    @Synchronized
    public fun holds(issuer: Incarnation): Boolean = issuer in issuers

    private fun claimHeld(key: LedgerKey, entry: LedgerEntry, digest: PayloadDigest): Claim = when (entry.state) {
        KeyState.ENDED -> Claim.Recorded(checkNotNull(entry.outcome))
        KeyState.RUNNING -> Claim.Wait(checkNotNull(entry.running))
        KeyState.ISSUED -> if (sealed) Claim.Refused.SEALED else start(key, entry, digest)
    }

    private fun start(key: LedgerKey, entry: LedgerEntry, digest: PayloadDigest): Claim {
        entry.digest = digest
        if (heldBytes + limits.runningBytes > limits.bytes * ADOPTION_FACTOR) {
            entries.record(key, NO_ROOM_OUTCOME, expiry)
            return Claim.Recorded(NO_ROOM_OUTCOME)
        }
        val outcome = CompletableDeferred<BookingOutcome>()
        entry.state = KeyState.RUNNING
        entry.running = outcome
        running++
        return Claim.Run(outcome)
    }
}

private const val KIBIBYTE_BYTES: Int = 1024
private const val MEBIBYTE_BYTES: Long = 1024L * 1024
private const val DEFAULT_MEBIBYTES: Long = 16
private const val DEFAULT_RECORD_KIBIBYTES: Int = 64

/** Factor by which adopted keys and running bookings may take a ledger above its limits. */
private const val ADOPTION_FACTOR: Int = 4
private const val MAX_ISSUERS: Int = 1_024
