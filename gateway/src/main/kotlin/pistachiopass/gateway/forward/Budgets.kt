/**
 * Limits that are summed over all instances, kept without a word between them.
 *
 * Each instance spends only its part of a pessimistic number of instances, so no cut and no lag can break the sum.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.settings.BoundSettings
import kotlin.math.floor

/** Limits the sending of one request a second time, by service, over a sliding window. */
public class RepeatBudget internal constructor(
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
        val allowed = bounds.repeatSlack / instances() + window.requests.size * bounds.repeatShare * EARNED_PART
        if (window.repeats.size + 1 > allowed) return false
        window.repeats.addLast(nowMillis())
        return true
    }

    private fun windowOf(service: ServiceName): Window {
        val window = windows.getOrPut(service, ::Window)
        val from = nowMillis() - (bounds.repeatWindowSeconds * MILLIS_PER_SECOND).toLong()
        window.requests.dropBefore(from)
        window.repeats.dropBefore(from)
        return window
    }

    private class Window {
        val requests = ArrayDeque<Long>()
        val repeats = ArrayDeque<Long>()
    }
}

/** Limits the requests a second to each cold endpoint. */
public class ColdBudget internal constructor(
    private val bounds: BoundSettings,
    private val instances: () -> Int,
    private val nowMillis: () -> Long,
) {
    private val sent = HashMap<Incarnation, ArrayDeque<Long>>()

    /** Is true if a cold endpoint of a service that bears [coldPerSecond] may get one more request from here. */
    public fun mayTake(incarnation: Incarnation, coldPerSecond: Double): Boolean {
        val times = sent[incarnation] ?: ArrayDeque()
        times.dropBefore(nowMillis() - COLD_WINDOW_MILLIS)
        val allowed = floor((coldPerSecond * bounds.coldFactor + bounds.coldSlack) / instances()).toInt()
        return times.size < allowed
    }

    /** Records a request sent to a cold endpoint. */
    public fun onSent(incarnation: Incarnation) {
        val times = sent.getOrPut(incarnation, ::ArrayDeque)
        times.addLast(nowMillis())
        if (sent.size > COLD_ENTRIES_MAX) sent.values.removeIf { it.isEmpty() || it.last() < nowMillis() - COLD_WINDOW_MILLIS }
    }
}

private fun ArrayDeque<Long>.dropBefore(timeMillis: Long) {
    while (isNotEmpty() && first() < timeMillis) removeFirst()
}

/** Part of what own requests earn that is spent; the rest covers requests that callers sent and that never arrived. */
private const val EARNED_PART: Double = 0.8

/** The bound is on any second; the margin covers different times on the way. */
private const val COLD_WINDOW_MILLIS: Long = 1_200
private const val COLD_ENTRIES_MAX: Int = 512
private const val MILLIS_PER_SECOND: Double = 1_000.0
