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
    private val openPeriods: ConcurrentHashMap<EndpointId, OpenPeriod> = ConcurrentHashMap()

    /** Returns whether [endpoint] should get no work now. */
    public fun isOpen(endpoint: EndpointId): Boolean = openPeriods[endpoint]?.openUntil?.hasNotPassedNow() == true

    /** Takes note that an attempt at [endpoint] failed; openPeriods during its pause count as one. */
    public fun recordFailure(endpoint: EndpointId) {
        openPeriods.compute(endpoint) { _, known ->
            when {
                known == null -> OpenPeriod(MIN_OPEN_MILLIS, openUntilAfter(MIN_OPEN_MILLIS))
                known.openUntil.hasNotPassedNow() -> known
                else -> minOf(known.openMillis * 2, MAX_OPEN_MILLIS).let { OpenPeriod(it, openUntilAfter(it)) }
            }
        }
    }

    /** Takes note that [endpoint] answered. */
    public fun recordSuccess(endpoint: EndpointId) {
        openPeriods.remove(endpoint)
    }

    private fun openUntilAfter(openMillis: Long): ComparableTimeMark = timeSource.markNow() + openMillis.milliseconds

    private class OpenPeriod(val openMillis: Long, val openUntil: ComparableTimeMark)
}

private const val MIN_OPEN_MILLIS: Long = 1_000
private const val MAX_OPEN_MILLIS: Long = 30_000
