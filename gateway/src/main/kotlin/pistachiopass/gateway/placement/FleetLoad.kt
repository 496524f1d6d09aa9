/**
 * The work that is known to be at each endpoint: this instance's own exactly, the others' by their estimates.
 *
 * Reading work drains in real time. A request of another instance counts as writing until its forecast end, since
 * estimates are sent when a request is placed and not when it ends.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EndpointLoad
import pistachiopass.gateway.model.Incarnation

/** Work that one request brings to one endpoint. */
public data class WorkEstimate(
    val endpoint: Incarnation,
    val prefillMillis: Double,
    /** Time for which the request writes after its reading; 0 for an endpoint that only reads a part. */
    val decodeMillis: Double,
    val contextTokens: Long,
    /** Longest pause between events that the request bears; 0 if it states none. */
    val gapTargetMillis: Long,
)

/** A request at an endpoint until [untilMillis] or until it is ended. */
public class PlacedWork internal constructor(
    internal val estimate: WorkEstimate,
    internal var untilMillis: Double,
    internal val isOwn: Boolean,
) {
    /** Reading that is still ahead for this request; 0 once its prompt has been read. */
    internal var remainingPrefillMillis: Double = estimate.prefillMillis
}

/** Known work at one endpoint. */
public class EndpointWork internal constructor() {
    internal val placed = ArrayList<PlacedWork>()
    internal var prefillEndsAtMillis: Double = 0.0
    internal var reportedLoad: EndpointLoad? = null
    internal var reportedAtMillis: Long = 0

    /** Factor by which the endpoint is slower than its published speeds; 1 as published. */
    public var slowness: Double = 1.0
        internal set

    /** Number of requests that write here. */
    public val decodingRequests: Int get() = placed.count { it.estimate.decodeMillis > 0 }

    /** Sum of the contexts of the requests here. */
    public val contextTokens: Long get() = placed.sumOf { it.estimate.contextTokens }

    /** Returns the reading that is ahead of a new prompt at [nowMillis]. */
    public fun backlogMillis(nowMillis: Long): Double = maxOf(0.0, prefillEndsAtMillis - nowMillis)

    /** Returns the requests here, as known or as the endpoint stated within the last moments, whichever is more. */
    public fun requestsAt(nowMillis: Long): Int {
        val reported = reportedLoad?.takeIf { nowMillis - reportedAtMillis < REPORTED_LOAD_AGE_MAX_MILLIS }
        return maxOf(placed.size, reported?.let { it.running + it.waiting } ?: 0)
    }

    internal fun expire(nowMillis: Long) {
        placed.removeAll { !it.isOwn && it.untilMillis < nowMillis }
    }
}

/** Keeps the known work at all endpoints. All calls come from the event loop. */
public class FleetLoad internal constructor(private val nowMillis: () -> Long) {
    private val works = HashMap<Incarnation, EndpointWork>()

    /** Returns the known work at [endpoint]. */
    public fun at(endpoint: Incarnation): EndpointWork =
        works.getOrPut(endpoint, ::EndpointWork).also { it.expire(nowMillis()) }

    /** Adds the work of [estimate]; own work stays until it is ended, another instance's until its forecast end. */
    public fun add(estimate: WorkEstimate, isOwn: Boolean): PlacedWork {
        val work = at(estimate.endpoint)
        val now = nowMillis()
        work.prefillEndsAtMillis =
            maxOf(work.prefillEndsAtMillis, now.toDouble()) + estimate.prefillMillis * work.slowness
        val placed = PlacedWork(estimate, work.prefillEndsAtMillis + estimate.decodeMillis, isOwn)
        work.placed += placed
        return placed
    }

    /** Records that the prompt of [placed] has been read. */
    public fun prefillEnded(placed: PlacedWork, forecastMillis: Double, actualMillis: Double) {
        placed.remainingPrefillMillis = 0.0
        val work = at(placed.estimate.endpoint)
        val ratio = (actualMillis / maxOf(forecastMillis, RATIO_FORECAST_MIN_MILLIS)).coerceIn(RATIO_MIN, RATIO_MAX)
        work.slowness = (work.slowness * (1 - RATIO_WEIGHT) + ratio * RATIO_WEIGHT).coerceAtLeast(1.0)
        if (work.placed.none { it !== placed && it.isOwn && it.estimate.prefillMillis > 0 }) {
            work.prefillEndsAtMillis =
                minOf(work.prefillEndsAtMillis, nowMillis() + work.backlogMillis(nowMillis()) / 2)
        }
    }

    /** Removes the work of a request that ended, with the reading that was not done. */
    public fun end(placed: PlacedWork) {
        val work = works[placed.estimate.endpoint] ?: return
        work.placed.remove(placed)
        work.prefillEndsAtMillis -= placed.remainingPrefillMillis * work.slowness
        placed.remainingPrefillMillis = 0.0
    }

    /** Records the load that an endpoint stated in an answer. */
    public fun recordReportedLoad(endpoint: Incarnation, load: EndpointLoad) {
        val work = at(endpoint)
        work.reportedLoad = load
        work.reportedAtMillis = nowMillis()
    }

    /** Forgets endpoints that [isKnown] rejects and that hold no own work. */
    public fun trim(isKnown: (Incarnation) -> Boolean) {
        works.entries.removeIf { (incarnation, work) -> !isKnown(incarnation) && work.placed.none { it.isOwn } }
    }
}

/** Age up to which a stated load is used; requests last about as long. */
private const val REPORTED_LOAD_AGE_MAX_MILLIS: Long = 300

/** Forecasts below this say little about an engine's pace, as the way there and a pass weigh as much. */
private const val RATIO_FORECAST_MIN_MILLIS: Double = 150.0
private const val RATIO_MIN: Double = 0.5
private const val RATIO_MAX: Double = 8.0
private const val RATIO_WEIGHT: Double = 0.15
