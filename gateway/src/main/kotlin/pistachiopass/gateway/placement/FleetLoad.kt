/**
 * The load of each endpoint, as seen by this instance.
 *
 * Requests of this instance are known exactly. Those of other instances are known by the estimates that the instances
 * send when they place a request, and by the message at its end. If that is lost, or its sender fails, the request
 * counts for some time beyond its forecast end. The prefill backlog of an endpoint shrinks in real time.
 */
package pistachiopass.gateway.placement

import pistachiopass.estimate.EndpointEstimates
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.EndpointLoad
import pistachiopass.membership.MemberHost
import pistachiopass.routing.DecayingRate
import pistachiopass.routing.decayingRateOf
import kotlin.random.Random

/** Estimated work that one request adds to one endpoint. */
public data class WorkEstimate(
    val endpoint: EndpointIncarnation,
    val prefillMillis: Double,
    /** Time of the decode that follows the prefill; 0 for an endpoint that only prefills a part of the prompt. */
    val decodeMillis: Double,
    val contextTokens: Long,
    /** Target for the longest gap between two events of the response; 0 if the route has none. */
    val gapTargetMillis: Long,
    /**
     * Time from the placement to the end of the request if its prefill is split, else 0. An engine that has done its
     * part holds [contextTokens] until the request ends.
     */
    val holdMillis: Double = 0.0,
    /** Whether the whole prefill would stall the short streams of an engine. */
    val isLong: Boolean = false,
)

/** Identifies a piece of placed work among those of one instance; [value] grows by one with each. */
@JvmInline
public value class PlacedWorkId(public val value: Long)

/** The work that another instance placed: the address of that instance and its id for the work. */
internal data class RemoteWorkId(val host: MemberHost, val id: PlacedWorkId)

/** A request at an endpoint, whose end is forecast for [untilMillis]. */
public class PlacedWork internal constructor(
    internal val id: PlacedWorkId,
    internal val estimate: WorkEstimate,
    internal var untilMillis: Double,
    internal val isOwn: Boolean,
    private val prefillEndsAtMillis: Double,
    internal val before: LoadBefore,
) {
    /** Prefill time that is still outstanding for this request. */
    internal var remainingPrefillMillis: Double = estimate.prefillMillis

    /** Time at which a request of another instance no longer counts although its end was not received. */
    internal val lapsesAtMillis: Double =
        untilMillis + END_LATE_MIN_MILLIS + maxOf(estimate.decodeMillis, estimate.holdMillis) * END_LATE_FACTOR

    /** Returns false if this is a request of another instance that only holds memory here. */
    internal fun isActiveAt(nowMillis: Long): Boolean =
        isOwn || estimate.decodeMillis > 0 || nowMillis <= prefillEndsAtMillis
}

/** State of an endpoint immediately before a request was added. */
internal class LoadBefore(
    val slowness: Double,
    val requests: Int,
    val decodingRequests: Int,
    val contextTokens: Long,
)

/** Requests and load of one endpoint. */
public class EndpointWork internal constructor(
    private val endpoint: EndpointIncarnation,
    private val estimates: EndpointEstimates,
) {
    internal val placed = ArrayList<PlacedWork>()

    /** Prefill time of long prompts that was placed here lately. */
    internal val longPrefill: DecayingRate = decayingRateOf()
    internal var prefillEndsAtMillis: Double = 0.0
    internal var reportedLoad: EndpointLoad? = null
    internal var reportedAtMillis: Long = 0
    internal var respondedAtMillis: Long? = null

    /** Factor by which the endpoint is slower than its published speeds; below 1 for one that is faster. */
    public val slowness: Double get() = estimates.factorOf(endpoint)

    /** Number of requests that are decoded here, including those whose prefill is still to come. */
    public val decodingRequests: Int get() = placed.count { it.estimate.decodeMillis > 0 }

    /** Number of decoded requests whose prompts are not long. */
    internal val shortStreams: Int get() = placed.count { it.estimate.decodeMillis > 0 && !it.estimate.isLong }

    /** Total context of the requests here, in tokens. */
    public val contextTokens: Long get() = placed.sumOf { it.estimate.contextTokens }

    /** Returns the prefill time that is queued ahead of a new prompt at [nowMillis]. */
    public fun backlogMillis(nowMillis: Long): Double = maxOf(0.0, prefillEndsAtMillis - nowMillis)

    /** Returns the number of known requests or the number that the endpoint reported lately, whichever is higher. */
    public fun requestsAt(nowMillis: Long): Int {
        val reported = reportedLoad?.takeIf { nowMillis - reportedAtMillis < REPORTED_LOAD_AGE_MAX_MILLIS }
        return maxOf(placed.count { it.isActiveAt(nowMillis) }, reported?.let { it.running + it.waiting } ?: 0)
    }

    /** Returns the time since the endpoint last sent data to this instance, or null if it never has. */
    internal fun responseAgeMillisOrNull(nowMillis: Long): Long? = respondedAtMillis?.let { nowMillis - it }

    /**
     * Returns the forecast time until one of [slots] is free for a new request at [nowMillis]; fewer than one count as
     * one. Prefilled parts of other requests take no slot.
     */
    public fun slotWaitMillis(slots: Int, nowMillis: Long): Double {
        val ends = placed.filter { it.estimate.decodeMillis > 0 }.map { it.untilMillis }
        val excess = ends.size + 1 - maxOf(1, slots)
        return if (excess <= 0) 0.0 else maxOf(0.0, ends.sorted()[excess - 1] - nowMillis)
    }

    internal fun expire(nowMillis: Long) {
        placed.removeAll { !it.isOwn && it.lapsesAtMillis < nowMillis }
    }
}

/** Returns whether all values are possible; a malformed one of another instance would otherwise count forever. */
private fun WorkEstimate.isPlausible(): Boolean =
    listOf(prefillMillis, decodeMillis, holdMillis).all { it in 0.0..WORK_MILLIS_MAX } &&
        contextTokens in 0..CONTEXT_TOKENS_MAX && gapTargetMillis >= 0

/** Holds the load of all endpoints, and the estimates of their speeds. Confined to the event loop. */
public class FleetLoad internal constructor(private val nowMillis: () -> Long) {
    internal val estimates = EndpointEstimates(nowMillis)
    private val workByEndpoint = HashMap<EndpointIncarnation, EndpointWork>()
    private val remoteWork = HashMap<RemoteWorkId, PlacedWork>()

    /** Begins at random, so that others do not take the work of a restarted instance for that of its last run. */
    private var lastId = Random.nextLong(FIRST_ID_MAX)

    /** Returns the load of [endpoint], without expired requests of other instances. */
    public fun at(endpoint: EndpointIncarnation): EndpointWork =
        workByEndpoint.getOrPut(endpoint) { EndpointWork(endpoint, estimates) }.also { it.expire(nowMillis()) }

    /** Adds a request of this instance, which counts until [end]. */
    public fun add(estimate: WorkEstimate): PlacedWork = add(estimate, isOwn = true)

    /** Adds the request [id] of another instance, which counts until [endRemote] or somewhat beyond its forecast. */
    internal fun addRemote(id: RemoteWorkId, estimate: WorkEstimate) {
        if (id in remoteWork || !estimate.isPlausible()) return
        remoteWork[id] = add(estimate, isOwn = false)
    }

    /** Removes the request [id] of another instance, if it is known. */
    internal fun endRemote(id: RemoteWorkId) {
        remoteWork.remove(id)?.let { workByEndpoint[it.estimate.endpoint]?.placed?.remove(it) }
    }

    private fun add(estimate: WorkEstimate, isOwn: Boolean): PlacedWork {
        val work = at(estimate.endpoint)
        val now = nowMillis()
        if (estimate.isLong) work.longPrefill.add(estimate.prefillMillis, now)
        val before = LoadBefore(work.slowness, work.requestsAt(now), work.decodingRequests, work.contextTokens)
        work.prefillEndsAtMillis =
            maxOf(work.prefillEndsAtMillis, now.toDouble()) + estimate.prefillMillis * before.slowness
        val endMillis = maxOf(work.prefillEndsAtMillis + estimate.decodeMillis, now + estimate.holdMillis)
        val placed =
            PlacedWork(PlacedWorkId(++lastId), estimate, endMillis, isOwn, work.prefillEndsAtMillis, before)
        work.placed += placed
        return placed
    }

    /**
     * Records that the prefill of [placed] is done. Halves the backlog of the endpoint if no other request of this
     * instance there has a prefill.
     */
    public fun prefillEnded(placed: PlacedWork) {
        placed.remainingPrefillMillis = 0.0
        val work = at(placed.estimate.endpoint)
        if (work.placed.none { it !== placed && it.isOwn && it.estimate.prefillMillis > 0 }) {
            work.prefillEndsAtMillis =
                minOf(work.prefillEndsAtMillis, nowMillis() + work.backlogMillis(nowMillis()) / 2)
        }
    }

    /** Removes a request that ended, and the prefill that it no longer needs. */
    public fun end(placed: PlacedWork) {
        val work = workByEndpoint[placed.estimate.endpoint] ?: return
        work.placed.remove(placed)
        work.prefillEndsAtMillis -= placed.remainingPrefillMillis * placed.before.slowness
        placed.remainingPrefillMillis = 0.0
    }

    /** Records that [endpoint] sent data. */
    public fun recordResponse(endpoint: EndpointIncarnation) {
        at(endpoint).respondedAtMillis = nowMillis()
    }

    /** Records the load that [endpoint] reported in a response. */
    public fun recordReportedLoad(endpoint: EndpointIncarnation, load: EndpointLoad) {
        val work = at(endpoint)
        work.reportedLoad = load
        work.reportedAtMillis = nowMillis()
    }

    /**
     * Removes requests of other instances whose end was not received, and endpoints that [isKnown] rejects, unless they
     * have requests of this instance.
     */
    public fun trim(isKnown: (EndpointIncarnation) -> Boolean) {
        val now = nowMillis()
        remoteWork.values.removeIf { it.lapsesAtMillis < now }
        workByEndpoint.entries.removeIf { (incarnation, work) ->
            !isKnown(incarnation) && work.placed.none { it.isOwn }
        }
        estimates.trim(isKnown)
    }
}

/**
 * Time beyond its forecast end for which a request of another instance counts if its end is not received: the answer is
 * often longer than its caller's estimate, and an instance that failed does not send the end.
 */
private const val END_LATE_MIN_MILLIS: Double = 500.0
private const val END_LATE_FACTOR: Double = 1.0

private const val FIRST_ID_MAX: Long = 1L shl 31

/** Far above the time and the context of any request. */
private const val WORK_MILLIS_MAX: Double = 600_000.0
private const val CONTEXT_TOKENS_MAX: Long = 1_000_000_000

/** Age up to which a reported load is used; about the duration of a request. */
private const val REPORTED_LOAD_AGE_MAX_MILLIS: Long = 300
