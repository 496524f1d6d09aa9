/**
 * Circuit breakers of endpoints. A failure opens the breaker for a time that doubles with each further failure.
 *
 * After that time requests are sent to the endpoint again. The first response closes the breaker, and the next failure
 * opens it again.
 */
package pistachiopass.entry.endpoint

import pistachiopass.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Circuit breakers of all endpoints; safe for concurrent use. */
public class EndpointBreaker(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val openPeriods: ConcurrentHashMap<EndpointId, OpenPeriod> = ConcurrentHashMap()

    /** Returns whether [endpoint] should get no requests now. */
    public fun isOpen(endpoint: EndpointId): Boolean = openPeriods[endpoint]?.openUntil?.hasNotPassedNow() == true

    /** Records that an attempt at [endpoint] failed; failures while its breaker is open count as one. */
    public fun recordFailure(endpoint: EndpointId) {
        openPeriods.compute(endpoint) { _, known ->
            when {
                known == null -> OpenPeriod(MIN_OPEN_MILLIS, openUntilAfter(MIN_OPEN_MILLIS))
                known.openUntil.hasNotPassedNow() -> known
                else -> minOf(known.openMillis * 2, MAX_OPEN_MILLIS).let { OpenPeriod(it, openUntilAfter(it)) }
            }
        }
    }

    /** Records that [endpoint] responded, which closes its breaker. */
    public fun recordSuccess(endpoint: EndpointId) {
        openPeriods.remove(endpoint)
    }

    private fun openUntilAfter(openMillis: Long): ComparableTimeMark = timeSource.markNow() + openMillis.milliseconds

    private class OpenPeriod(val openMillis: Long, val openUntil: ComparableTimeMark)
}

private const val MIN_OPEN_MILLIS: Long = 1_000
private const val MAX_OPEN_MILLIS: Long = 30_000
