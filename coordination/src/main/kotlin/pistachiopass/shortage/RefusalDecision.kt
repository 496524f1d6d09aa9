/**
 * Load shedding: decides whether a request is refused before it is sent, and when its caller may return.
 *
 * The load condition is that every candidate engine is busy for longer than callers can wait. A queue counts as full
 * when its wait exceeds two thirds of the time that callers have: a caller that returns after the last third, which is
 * the longest that callers honour, then still has the time to be served. A request that will only miss its latency
 * target is not refused.
 */
package pistachiopass.shortage

import kotlin.math.pow
import kotlin.random.Random

/** Load of the engines that one request may be sent to. */
public data class CandidateLoad(
    val freeSlots: Int,
    val totalSlots: Int,
    /** Requests that wait for a slot. */
    val waitingRequests: Int,
    /** Mean time for which a request holds a slot; not finite or not positive if unknown. */
    val slotMillis: Double,
    /** Instances that place requests on these engines, this one included. */
    val sharingInstances: Int,
) {
    /** Is true if at least half of the slots are free and no request waits; then nothing is refused. */
    public val isIdle: Boolean get() = waitingRequests <= 0 && freeSlots * 2L >= totalSlots
}

/** A request at the moment of its placement. */
public data class PendingRequest(
    val caller: CallerKey,
    val rank: Rank,
    /** Ranks of requests to the service that come before [rank]. */
    val ranksAhead: Int,
    /** Forecast time to the first event; not finite if unknown. */
    val forecastMillis: Double,
    /** Time until the caller's deadline or the route's timeout, whichever is first. */
    val remainingMillis: Long,
    /** Shortest timeout of the routes to the service; a queue is no longer than its callers can wait. */
    val shortestTimeoutMillis: Long,
    val elapsedMillis: Long,
    /** Ratio of the workspace's recent usage to its fair share; 1 if unknown. */
    val shareRatio: Double = 1.0,
)

/** Why a request is refused. */
public enum class RefusalReason(public val text: String) {
    /** The first event is forecast for after the end of the request's time. */
    FORECAST("forecast"),

    /** The queues of the engines are full, by their wait or since they refused the request. */
    QUEUES_FULL("queues_full"),
}

/** A refusal: the caller may return after [retryAfterMillis]. */
public data class Refusal(
    val reason: RefusalReason,
    val retryAfterMillis: Long,
    /** Forecast that the decision used, with the wait for a slot. */
    val forecastMillis: Double,
)

/** Decides on refusals; holds the promises of this instance. Confined to one thread. */
public class RefusalDecision internal constructor(private val nowMillis: () -> Long, random: Random) {
    private val promises = RetryPromises(random)

    /** Returns the refusal of [request], or null if it is to be sent to an engine. */
    public fun refusalOrNull(request: PendingRequest, load: CandidateLoad): Refusal? {
        val now = nowMillis()
        val hasPromise = promises.isDue(request.caller, now)
        val queueMillis = queueMillis(load, if (hasPromise) 0 else promises.outstandingAt(now))
        val forecastMillis = maxOf(queueMillis, request.forecastMillis.takeIf { it.isFinite() } ?: 0.0)
        val limitMillis = queueLimitMillis(request)
        return when {
            load.isIdle -> null
            forecastMillis > request.remainingMillis ->
                refusal(RefusalReason.FORECAST, request, load, forecastMillis, forecastMillis - request.remainingMillis)
            !hasPromise && queueMillis > limitMillis ->
                refusal(RefusalReason.QUEUES_FULL, request, load, forecastMillis, queueMillis - limitMillis)
            else -> null
        }
    }

    /** Returns the refusal of [request] after the engines refused it or could not take it. */
    public fun refusalOfEngines(request: PendingRequest, load: CandidateLoad): Refusal {
        val queueMillis = queueMillis(load, promises.outstandingAt(nowMillis()))
        val forecastMillis = maxOf(queueMillis, request.forecastMillis.takeIf { it.isFinite() } ?: 0.0)
        return refusal(RefusalReason.QUEUES_FULL, request, load, forecastMillis, waitMillis = 0.0)
    }

    /** Returns whether [caller] was promised capacity that is due now. */
    public fun isReturn(caller: CallerKey): Boolean = promises.isDue(caller, nowMillis())

    /** Records that a request was sent to an engine, so that a promise to its caller no longer counts. */
    public fun onSent(caller: CallerKey): Unit = promises.take(caller, nowMillis())

    private fun refusal(
        reason: RefusalReason,
        request: PendingRequest,
        load: CandidateLoad,
        forecastMillis: Double,
        waitMillis: Double,
    ): Refusal {
        val intervalMillis = slotMillisOf(load) / maxOf(1, load.totalSlots) * maxOf(1, load.sharingInstances) /
            PROMISED_FRACTION
        val periodMillis = maxOf(queueMillis(load, promised = 0), intervalMillis)
        val retryAfterMillis = promises.promise(
            request,
            nowMillis(),
            waitMillis + periodMillis * request.orderInPeriod(),
            intervalMillis,
        )
        return Refusal(reason, retryAfterMillis, forecastMillis)
    }
}

/** Returns a decision without promises; [nowMillis] is a monotonic clock and [random] spreads retry times. */
public fun refusalDecisionOf(nowMillis: () -> Long, random: Random = Random.Default): RefusalDecision =
    RefusalDecision(nowMillis, random)

/** Returns the wait for a slot of a new request behind those that wait and [promised] ones. */
private fun queueMillis(load: CandidateLoad, promised: Int): Double {
    val ahead = maxOf(0L, load.waitingRequests.toLong()) + promised + 1 - maxOf(0, load.freeSlots)
    return maxOf(0L, ahead) * slotMillisOf(load) / maxOf(1, load.totalSlots)
}

private fun slotMillisOf(load: CandidateLoad): Double =
    load.slotMillis.takeIf { it.isFinite() && it > 0 }?.coerceAtMost(SLOT_MILLIS_MAX) ?: SLOT_MILLIS_DEFAULT

/**
 * Returns the longest wait in a queue, which is shorter for later ranks: while they fill it to their limit, the earlier
 * ones are admitted. Overuse of a fair share takes it half of the way to that of the next rank, and age restores it.
 */
private fun queueLimitMillis(request: PendingRequest): Double {
    val timeoutMillis = maxOf(0L, request.shortestTimeoutMillis).toDouble()
    val wholeMillis = request.remainingMillis.toDouble() + maxOf(0L, request.elapsedMillis)
    return wholeMillis.coerceIn(0.0, timeoutMillis) * QUEUE_FRACTION *
        RANK_FACTOR.pow(maxOf(0, request.ranksAhead) + request.overuse() / 2)
}

/** Returns the position in the period in which capacity comes free, from 0 to 1: by rank, then by share and age. */
private fun PendingRequest.orderInPeriod(): Double = (rank.value + overuse()) / (RANK_MAX + 1)

/** Returns how far the workspace is above its fair share, from 0 to 1, less with the age of the request. */
private fun PendingRequest.overuse(): Double {
    val above = (shareRatio.takeIf { it.isFinite() } ?: 1.0).coerceIn(1.0, SHARE_RATIO_MAX) - 1
    val elapsed = elapsedMillis.coerceAtLeast(0).toDouble()
    val agePart = elapsed / maxOf(1.0, elapsed + maxOf(0L, remainingMillis))
    return above / (SHARE_RATIO_MAX - 1) * (1 - agePart)
}

/** Part of the time of callers that the queue may take; the rest is what callers wait before they return. */
private const val QUEUE_FRACTION: Double = 2.0 / 3

/** Queue limit of a rank in relation to the rank before it: a difference of several requests per engine. */
private const val RANK_FACTOR: Double = 0.8

/** Part of the capacity that is promised to returning callers; new requests get the rest, so that neither starves. */
private const val PROMISED_FRACTION: Double = 0.5

/** Ratio to the fair share from which on overuse counts in full. */
private const val SHARE_RATIO_MAX: Double = 2.0

/** Assumed time in a slot while no request is known: about that of a short stream. */
private const val SLOT_MILLIS_DEFAULT: Double = 1_000.0

/** Longer times are those of token counts that no engine can hold. */
private const val SLOT_MILLIS_MAX: Double = 600_000.0
