/**
 * Limits that are summed over all instances, kept without a word between them.
 *
 * Each instance spends only its part of a pessimistic number of instances, so no cut and no lag can break the sum.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.settings.BoundSettings
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.KnownEndpoint
import kotlin.math.floor

/** Limits the sending of one request a second time, by service, over a sliding window. */
public class RetryBudget internal constructor(
    private val bounds: BoundSettings,
    private val instances: () -> Int,
    private val nowMillis: () -> Long,
) {
    private val windows = HashMap<ServiceName, Window>()

    /** Records a request for [service], which earns a part of a repeat. */
    public fun onRequest(service: ServiceName) {
        windowOf(service).requests.addLast(nowMillis())
    }

    /** Takes one repeat at [service] and returns true, or returns false if none is left. */
    public fun tryTake(service: ServiceName): Boolean {
        val window = windowOf(service)
        val allowed = bounds.repeatSlack / instances() + window.requests.size * bounds.repeatShare * EARNED_FRACTION
        if (window.retries.size + 1 > allowed) return false
        window.retries.addLast(nowMillis())
        return true
    }

    private fun windowOf(service: ServiceName): Window {
        val window = windows.getOrPut(service, ::Window)
        val from = nowMillis() - (bounds.repeatWindowSeconds * MILLIS_PER_SECOND).toLong()
        window.requests.dropBefore(from)
        window.retries.dropBefore(from)
        return window
    }

    private class Window {
        val requests = ArrayDeque<Long>()
        val retries = ArrayDeque<Long>()
    }
}

/** Limits the requests a second to each cold endpoint. */
public class ColdBudget internal constructor(
    private val bounds: BoundSettings,
    private val instances: () -> Int,
    private val clock: AgeClock,
) {
    private val sent = HashMap<Incarnation, ArrayDeque<Long>>()

    /** Is true if [endpoint], of a service whose cold ones bear [coldPerSecond], may get a request from here now. */
    public fun maySend(endpoint: KnownEndpoint, coldPerSecond: Double): Boolean {
        if (!isCold(endpoint) || coldPerSecond <= 0) return true
        val times = sent[endpoint.published.incarnation] ?: ArrayDeque()
        times.dropBefore(clock.nowMillis() - COLD_WINDOW_MILLIS)
        val allowed = floor((coldPerSecond * bounds.coldFactor + bounds.coldSlack) / instances()).toInt()
        return times.size < allowed
    }

    /** Records a request that is sent to [endpoint]. */
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

/** Part of what own requests earn that is spent; the rest covers requests that callers sent and that never arrived. */
private const val EARNED_FRACTION: Double = 0.8

/** The bound is on any second; the margin covers different times on the way. */
private const val COLD_WINDOW_MILLIS: Long = 1_200
private const val COLD_ENTRIES_MAX: Int = 512
private const val MILLIS_PER_SECOND: Double = 1_000.0
