/** Retry budget of one instance, which keeps retries from multiplying the load of a failing fleet. */
package pistachiopass.entry.filter

import java.util.concurrent.atomic.AtomicLong

/** Token bucket that requests fill and retries drain; safe for concurrent use. */
public class RetryBudget internal constructor(private val percentOfRequests: Long, capacity: Long) {
    private val capacityPercents: Long = capacity * PERCENTS_PER_RETRY
    private val percents: AtomicLong = AtomicLong(capacityPercents)

    /** Adds the fraction of a retry that each request earns. */
    public fun onRequest() {
        percents.updateAndGet { minOf(capacityPercents, it + percentOfRequests) }
    }

    /** Takes one retry out of the budget and returns true, or returns false when less than one is left. */
    public fun tryTake(): Boolean {
        val before = percents.getAndUpdate { if (it >= PERCENTS_PER_RETRY) it - PERCENTS_PER_RETRY else it }
        return before >= PERCENTS_PER_RETRY
    }
}

/** Returns a full budget that allows retries of [percentOfRequests] percent of requests, in bursts up to [capacity]. */
public fun retryBudgetOf(
    percentOfRequests: Int = DEFAULT_PERCENT_OF_REQUESTS,
    capacity: Int = DEFAULT_CAPACITY,
): RetryBudget {
    require(
        percentOfRequests in 0..PERCENTS_PER_RETRY.toInt()
    ) { "percentOfRequests must be 0..100, was $percentOfRequests" }
    require(capacity > 0) { "capacity must be positive, was $capacity" }
    return RetryBudget(percentOfRequests.toLong(), capacity.toLong())
}

private const val PERCENTS_PER_RETRY: Long = 100
private const val DEFAULT_PERCENT_OF_REQUESTS: Int = 10
private const val DEFAULT_CAPACITY: Int = 10
