/**
 * Limits on retries and cold starts over all instances together, enforced without communication between them.
 *
 * Each instance uses only its share. Retries are divided by a deliberately overestimated number of instances. Requests
 * to a cold endpoint are lent to few instances, see [pistachiopass.limits.LentLimit].
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.settings.CurrentBounds
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.KnownEndpoint

/** Limits the retries of each service over a sliding window. */
public class RetryBudget internal constructor(
    private val current: CurrentBounds,
    private val instances: () -> Int,
    private val nowMillis: () -> Long,
) {
    private val windows = HashMap<ServiceName, Window>()

    /** Records a request for [service], which adds a fraction of a retry to the budget. */
    public fun onRequest(service: ServiceName) {
        windowOf(service).requests.addLast(nowMillis())
    }

    /** Takes one retry of [service] from the budget; returns false if none is left. */
    public fun tryTake(service: ServiceName): Boolean {
        val window = windowOf(service)
        val bounds = current.value
        val allowed = bounds.repeatSlack / instances() + window.requests.size * bounds.repeatShare * EARNED_FRACTION
        if (window.retries.size + 1 > allowed) return false
        window.retries.addLast(nowMillis())
        return true
    }

    private fun windowOf(service: ServiceName): Window {
        val window = windows.getOrPut(service, ::Window)
        val from = nowMillis() - (current.value.repeatWindowSeconds * MILLIS_PER_SECOND).toLong()
        window.requests.dropBefore(from)
        window.retries.dropBefore(from)
        return window
    }

    private class Window {
        val requests = ArrayDeque<Long>()
        val retries = ArrayDeque<Long>()
    }
}

/** Limits the requests per second to each endpoint that is in its cold start. */
public class ColdBudget internal constructor(
    private val current: CurrentBounds,
    private val shares: ColdShares,
    private val clock: AgeClock,
) {
    private val sent = HashMap<EndpointIncarnation, ArrayDeque<Long>>()

    /** Is true if [endpoint] is warm or this instance's share of [coldRequestsPerSecond] allows one more request. */
    public fun maySend(endpoint: KnownEndpoint, coldRequestsPerSecond: Double): Boolean {
        if (!isCold(endpoint) || coldRequestsPerSecond <= 0) return true
        val times = sent[endpoint.published.incarnation] ?: ArrayDeque()
        times.dropBefore(clock.nowMillis() - COLD_WINDOW_MILLIS)
        val bounds = current.value
        return times.size < shares.shareOf(endpoint, coldRequestsPerSecond * bounds.coldFactor + bounds.coldSlack)
    }

    /** Records that a request is sent to [endpoint]. */
    public fun onSent(endpoint: KnownEndpoint) {
        if (!isCold(endpoint)) return
        val from = clock.nowMillis() - COLD_WINDOW_MILLIS
        if (sent.size > COLD_ENTRIES_MAX) sent.values.removeIf { it.isEmpty() || it.last() < from }
        sent.getOrPut(endpoint.published.incarnation, ::ArrayDeque).addLast(clock.nowMillis())
    }

    private fun isCold(endpoint: KnownEndpoint): Boolean = endpoint.coldUntilMillis > clock.nowMillis()
}

private fun ArrayDeque<Long>.dropBefore(timeMillis: Long) {
    while (isNotEmpty() && first() < timeMillis) removeFirst()
}

/** Part of the earned budget that is used; the rest allows for requests that callers sent and that never arrived. */
private const val EARNED_FRACTION: Double = 0.8

/** The limit applies to any second as seen by the endpoint; the excess over 1 s allows for varying network delays. */
private const val COLD_WINDOW_MILLIS: Long = 1_200
private const val COLD_ENTRIES_MAX: Int = 512
private const val MILLIS_PER_SECOND: Double = 1_000.0
