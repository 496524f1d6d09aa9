/** Promised retry times: the times at which an instance expects the callers that it has refused. */
package pistachiopass.shortage

import java.util.TreeMap
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Identifies the caller of a request when it returns; attempts have different request ids.
 *
 * Requests of one workspace, route and prompt size share a key, and any of them may use a promise to another.
 */
@JvmInline
public value class CallerKey(public val value: String) {
    override fun toString(): String = value
}

/** Holds at most [PROMISES_MAX] promises. */
internal class RetryPromises(private val random: Random) {
    private val callerByDueMillis = TreeMap<Double, CallerKey>()
    private var lastFarMillis = Double.NEGATIVE_INFINITY
    private val dueMillisByCaller = HashMap<CallerKey, ArrayDeque<Double>>()

    /** Returns the number of promises that still count as placed at [nowMillis]. */
    fun outstandingAt(nowMillis: Long): Int {
        expire(nowMillis)
        return callerByDueMillis.size
    }

    /** Is true if [caller] was promised capacity that is due at [nowMillis], and returns in time. */
    fun isDue(caller: CallerKey, nowMillis: Long): Boolean {
        expire(nowMillis)
        return dueMillisByCaller[caller]?.any { it <= nowMillis + EARLY_MILLIS } ?: false
    }

    /**
     * Returns the time in milliseconds from [nowMillis], at least [fromMillis], at which [intervalMillis] before the
     * next promise is free. It is promised only if the caller honours it; a longer time is the forecast alone.
     */
    fun promise(request: PendingRequest, nowMillis: Long, fromMillis: Double, intervalMillis: Double): Long {
        take(request.caller, nowMillis)
        val nearUntilMillis = nowMillis + request.shortestTimeoutMillis.toDouble() / HONOURED_DIVISOR
        var dueMillis = freeFrom(nowMillis + fromMillis + random.nextDouble() * intervalMillis, intervalMillis)
        val isFar = dueMillis > nearUntilMillis
        if (isFar) dueMillis = freeFrom(maxOf(dueMillis, lastFarMillis + intervalMillis / FAR_PART), intervalMillis)
        val retryAfterMillis = ceil(dueMillis - nowMillis).coerceIn(1.0, RETRY_AFTER_MAX_MILLIS).toLong()
        val isHonoured = retryAfterMillis <= request.remainingMillis / HONOURED_DIVISOR
        val hasRoom = callerByDueMillis.size < PROMISES_MAX && dueMillis !in callerByDueMillis
        if (isHonoured && hasRoom) {
            if (isFar) lastFarMillis = dueMillis
            callerByDueMillis[dueMillis] = request.caller
            dueMillisByCaller.getOrPut(request.caller, ::ArrayDeque) += dueMillis
        }
        return retryAfterMillis
    }

    private fun freeFrom(fromMillis: Double, intervalMillis: Double): Double {
        var dueMillis = fromMillis
        for (promised in callerByDueMillis.tailMap(dueMillis - intervalMillis, false).keys) {
            if (promised - dueMillis >= intervalMillis) break
            dueMillis = promised + intervalMillis
        }
        return dueMillis
    }

    /** Removes one promise to [caller] that is due at [nowMillis], if there is one. */
    fun take(caller: CallerKey, nowMillis: Long) {
        expire(nowMillis)
        dueMillisByCaller[caller]?.firstOrNull { it <= nowMillis + EARLY_MILLIS }?.let(::remove)
    }

    private fun remove(dueMillis: Double) {
        val caller = callerByDueMillis.remove(dueMillis) ?: return
        val left = dueMillisByCaller[caller] ?: return
        left.remove(dueMillis)
        if (left.isEmpty()) dueMillisByCaller.remove(caller)
    }

    private fun expire(nowMillis: Long) {
        while (callerByDueMillis.isNotEmpty() && callerByDueMillis.firstKey() + LATE_MILLIS < nowMillis) {
            remove(callerByDueMillis.firstKey())
        }
    }
}

/** Callers honour a retry time of up to a third of their remaining time. */
private const val HONOURED_DIVISOR: Long = 3

/**
 * Part of the times beyond those that all callers honour that may be promised. Otherwise callers with long timeouts
 * take them before the others can: 81 % of the served requests of one rank were theirs in OverloadTest, of 33 % sent.
 */
private const val FAR_PART: Double = 0.25

/** Promises that are held; more callers than this are told the truth and not awaited. */
private const val PROMISES_MAX: Int = 1_024

/** Differences between a promised time and the return: timers of callers and the network. */
private const val EARLY_MILLIS: Long = 20
private const val LATE_MILLIS: Long = 150

/** Longest retry time that is reported; forecasts further ahead say nothing. */
private const val RETRY_AFTER_MAX_MILLIS: Double = 60_000.0
