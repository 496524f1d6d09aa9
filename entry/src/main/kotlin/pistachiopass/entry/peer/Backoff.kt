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
    private var pauseMillis: Long = limits.backoffMinMillis
    private var nextAttempt: ComparableTimeMark? = null

    /** Whether an attempt must wait. */
    val isWaiting: Boolean get() = nextAttempt?.hasNotPassedNow() ?: false

    /** Records a successful attempt. */
    fun onSuccess() {
        pauseMillis = limits.backoffMinMillis
        nextAttempt = null
    }

    /** Records a failed attempt: the next one waits between half of the pause and all of it, then the pause doubles. */
    fun onFailure() {
        val half = pauseMillis / 2
        nextAttempt = clock.markNow() + (half + random.nextLong(pauseMillis - half + 1)).milliseconds
        pauseMillis = minOf(limits.backoffMaxMillis, pauseMillis * 2)
    }
}
