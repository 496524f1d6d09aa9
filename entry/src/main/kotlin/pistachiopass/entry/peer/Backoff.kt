/** Jittered exponential backoff between attempts to connect. */
package pistachiopass.entry.peer

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Tells when the next attempt to connect may start; for one caller at a time. */
internal class Backoff(
    private val limits: PeerLimits,
    private val random: Random,
    private val clock: TimeSource.WithComparableMarks,
) {
    private var delayMillis: Long = limits.backoffMinMillis
    private var nextAttempt: ComparableTimeMark? = null

    /** Whether an attempt must wait. */
    val isWaiting: Boolean get() = nextAttempt?.hasNotPassedNow() ?: false

    /** Records a successful attempt. */
    fun onSuccess() {
        delayMillis = limits.backoffMinMillis
        nextAttempt = null
    }

    /** Records a failed attempt: the next one waits between half of the pause and all of it, then the pause doubles. */
    fun onFailure() {
        val half = delayMillis / 2
        nextAttempt = clock.markNow() + (half + random.nextLong(delayMillis - half + 1)).milliseconds
        delayMillis = minOf(limits.backoffMaxMillis, delayMillis * 2)
    }
}
