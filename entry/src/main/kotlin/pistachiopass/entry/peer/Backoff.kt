/** Jittered exponential backoff between connection attempts. */
package pistachiopass.entry.peer

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Decides when the next connection attempt may start; for one caller at a time. */
internal class Backoff(
    private val limits: PeerLimits,
    private val random: Random,
    private val clock: TimeSource.WithComparableMarks,
) {
    private var delayMillis: Long = limits.backoffMinMillis
    private var nextAttempt: ComparableTimeMark? = null

    /** Whether the delay after the last failure has not passed yet. */
    val isWaiting: Boolean get() = nextAttempt?.hasNotPassedNow() ?: false

    /** Resets the delay to its minimum. */
    fun onSuccess() {
        delayMillis = limits.backoffMinMillis
        nextAttempt = null
    }

    /**
     * Delays the next attempt by a random time between half the current delay and all of it, then doubles the delay up
     * to its maximum.
     */
    fun onFailure() {
        val half = delayMillis / 2
        nextAttempt = clock.markNow() + (half + random.nextLong(delayMillis - half + 1)).milliseconds
        delayMillis = minOf(limits.backoffMaxMillis, delayMillis * 2)
    }
}
