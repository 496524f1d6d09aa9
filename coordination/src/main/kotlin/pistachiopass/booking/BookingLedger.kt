/**
 * The ledger of one incarnation: the state of each key that it issued or took over from a stopped one.
 *
 * A key is issued, then running, then ended; it runs once. A booking that is said to be `not run` has ended too, so
 * that an earlier attempt that was held up on its way can't make the word false. The ledger never forgets a key before
 * its time: when a bound is reached it issues no keys. Once sealed it starts no run, ever.
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

/** Bounds of a ledger. */
public data class LedgerLimits(
    /** Keys that are held at a time; beyond it none is issued. */
    val keys: Int = 10_000,
    /** Memory of keys and recorded outcomes; beyond it none is issued and none begins to run. */
    val bytes: Long = DEFAULT_MEBIBYTES * MEBIBYTE_BYTES,
    /** Longest body of a booking, and longest answer that is recorded. */
    val recordBytes: Int = DEFAULT_RECORD_KIBIBYTES * KIBIBYTE_BYTES,
    /** Time for which an unused key may be used, and for which an outcome is kept. */
    val keyMillis: Long = 3_600_000,
) {
    /** Memory that is set aside for a running booking: its request and its answer. */
    internal val runningBytes: Long get() = 2L * recordBytes
}

/** Tells what a request with a key has to do. */
public sealed interface Claim {
    /** The request has to run the booking and then call [BookingLedger.finish], which completes [outcome]. */
    public class Run(public val outcome: Deferred<BookingOutcome>) : Claim

    /** Another request runs the booking; [outcome] completes when it ends. */
    public class Wait(public val outcome: Deferred<BookingOutcome>) : Claim

    /** The booking has ended. */
    public class Recorded(public val outcome: BookingOutcome) : Claim

    /** The booking is not run for this request. */
    public enum class Refused : Claim {
        /** The key stands for another payload. */
        REUSED,

        /** The key has expired, and whether it ran is no longer known. */
        FORGOTTEN,

        /** The ledger is sealed, and the key has not run here and never will. */
        SEALED,

        /** The ledger does not hold the keys of the issuer. */
        NOT_HERE,
    }
}

/** Names why no key was issued. */
public enum class IssueRefusal {
    /** A bound is reached. */
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

/** Holds the state of keys; safe for use by many threads. */
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

    /** Whether the ledger is sealed. */
    public val isSealed: Boolean @Synchronized get() = sealed

    /** Memory that is held, with what is set aside for running bookings. */
    public val heldBytes: Long @Synchronized get() = entries.bytes + reservedBytes

    /** Keys that are held. */
    public val keyCount: Int @Synchronized get() = entries.size

    /** Bookings whose outcome is awaited. */
    public val runningCount: Int @Synchronized get() = running

    /** Returns a fresh key, or why there is none. */
    @Synchronized
    public fun issue(): Result<BookingKey, IssueRefusal> {
        entries.removeExpired()
        val isFull = entries.size >= limits.keys || heldBytes + ENTRY_BYTES > limits.bytes
        if (sealed || isFull) return Err(if (sealed) IssueRefusal.SEALED else IssueRefusal.FULL)
        val key = BookingKey(self, ++lastSequence, start.elapsedNow().inWholeMilliseconds + limits.keyMillis)
        entries.put(key.toLedgerKey(), LedgerEntry(KeyState.ISSUED, expiry))
        return Ok(key)
    }

    /** Returns what a request with [key] and a payload of [digest] has to do. */
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

    /** Ends the run of [key] and records [outcome], unless it is an answer beyond the limit. */
    @Synchronized
    public fun finish(key: BookingKey, outcome: BookingOutcome) {
        val entry = checkNotNull(entries[key.toLedgerKey()]) { "key ${key.sequence} of ${key.issuer} is not held" }
        check(entry.state == KeyState.RUNNING) { "key ${key.sequence} is ${entry.state}, not running" }
        val recorded = outcome.limitedTo(limits.recordBytes)
        running--
        entries.record(key.toLedgerKey(), recorded, expiry)
        entry.running?.complete(recorded)
        entry.running = null
    }

    /** Lets no more keys be issued and no more runs begin. */
    @Synchronized
    public fun seal() {
        sealed = true
    }

    /** Returns all keys of a sealed ledger; a key that still runs counts as one that may have run. */
    @Synchronized
    public fun export(): LedgerExport {
        check(sealed) { "the ledger is not sealed" }
        entries.removeExpired()
        return LedgerExport(issuers.toList(), entries.toExported())
    }

    /** Takes over the keys of a sealed ledger, all or, when there is no room or this one is sealed, none. */
    @Synchronized
    public fun adopt(moved: LedgerExport): Boolean {
        entries.removeExpired()
        val addedBytes = moved.keys.sumOf { it.heldBytes() }
        val hasRoom = entries.size + moved.keys.size <= limits.keys * ADOPTION_FACTOR &&
            heldBytes + addedBytes <= limits.bytes * ADOPTION_FACTOR
        if (sealed || !hasRoom) return false
        check(moved.keys.none { entries[LedgerKey(it.issuer, it.sequence)] != null }) { "a moved key is held already" }
        issuers += moved.issuers
        while (issuers.size > MAX_ISSUERS) issuers.remove(issuers.first { it != self })
        moved.keys.forEach { entries.put(LedgerKey(it.issuer, it.sequence), it.toEntry(clock.markNow())) }
        return true
    }

    /** Returns whether this ledger holds the keys of [issuer]. */
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

/** How many times its own bounds a ledger may hold with the keys of stopped instances and running bookings. */
private const val ADOPTION_FACTOR: Int = 4
private const val MAX_ISSUERS: Int = 1_024
