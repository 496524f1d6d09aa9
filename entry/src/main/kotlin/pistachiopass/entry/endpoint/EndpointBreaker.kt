/**
 * Circuit breakers of endpoints: one that failed gets no work for a pause, which doubles with each further failure.
 *
 * After the pause requests go there again; the first answer closes the breaker, and the next failure opens it anew.
 */
package pistachiopass.entry.endpoint

import pistachiopass.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Keeps the breakers of all endpoints; safe for use by many coroutines. */
public class EndpointBreaker(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val failures: ConcurrentHashMap<EndpointId, Failures> = ConcurrentHashMap()

    /** Returns whether [endpoint] should get no work now. */
    public fun isOpen(endpoint: EndpointId): Boolean = failures[endpoint]?.openUntil?.hasNotPassedNow() == true

    /** Takes note that an attempt at [endpoint] failed; failures during its pause count as one. */
    public fun failed(endpoint: EndpointId) {
        failures.compute(endpoint) { _, known ->
            when {
                known == null -> Failures(MIN_PAUSE_MILLIS, pauseEnd(MIN_PAUSE_MILLIS))
                known.openUntil.hasNotPassedNow() -> known
                else -> minOf(known.pauseMillis * 2, MAX_PAUSE_MILLIS).let { Failures(it, pauseEnd(it)) }
            }
        }
    }

    /** Takes note that [endpoint] answered. */
    public fun answered(endpoint: EndpointId) {
        failures.remove(endpoint)
    }

    private fun pauseEnd(pauseMillis: Long): ComparableTimeMark = timeSource.markNow() + pauseMillis.milliseconds

    private class Failures(val pauseMillis: Long, val openUntil: ComparableTimeMark)
}

private const val MIN_PAUSE_MILLIS: Long = 1_000
private const val MAX_PAUSE_MILLIS: Long = 30_000
