/**
 * Chooses endpoints for requests by forecasts of their latency.
 *
 * Prompts of a thousand to a million tokens share the same engines. The prefill of a long prompt on a single engine
 * would miss its own latency target and stall every stream that the engine decodes beyond its gap target. Therefore the
 * prefill of a long prompt is split over several engines, preferably those that decode few requests, and short prompts
 * are packed onto engines that decode already, up to their batch slots, so that others stay free. While long prompts
 * come, a part of the engines is preferred for them and the others for short streams (LongPromptPartition).
 */
package pistachiopass.gateway.placement

import pistachiopass.estimate.ChoiceCandidate
import pistachiopass.estimate.CompletionTimeChoice
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.EndpointId
import pistachiopass.routing.longPromptShareOf
import kotlin.random.Random

/** Input of the placement of one request. */
public class PlacementRequest(
    public val route: Route,
    public val service: Service,
    public val tokenCounts: TokenCounts?,
    /** Time since the request arrived. */
    public val elapsedMillis: Long,
    /** Endpoints on which an attempt of this request has failed. */
    public val excluded: Set<EndpointIncarnation>,
    /** Shortest gap target of the streams that the service decodes; 0 if there is none. */
    public val gapTargetMinMillis: Long = 0,
)

/** The endpoint that a request is sent to, and the helpers that prefill parts of its prompt. */
public class Assignment(
    public val endpoint: KnownEndpoint,
    public val helpers: List<KnownEndpoint>,
    /** Forecast time to the first token, in milliseconds; 0 if the service has no model engines. */
    public val forecastMillis: Double,
    /** Estimated work on each engine involved, the first entry for [endpoint]. */
    public val estimates: List<WorkEstimate>,
    /** Memory to reserve at [endpoint] and each helper, in tokens; 0 if the prompt fits [endpoint] alone. */
    public val reservedTokens: Long,
    /** Engines that may replace one that does not reserve memory, in order of preference. */
    public val spares: List<SpareEngine> = emptyList(),
) {
    /** All engines involved, [endpoint] first. */
    public val engines: List<KnownEndpoint> get() = listOf(endpoint) + helpers

    /** Returns the estimate of the work at position [index] of [engines] if [engine] does it. */
    internal fun estimateAt(index: Int, engine: KnownEndpoint): WorkEstimate =
        estimates[index].copy(endpoint = engine.published.incarnation)

    /** Returns this assignment with [used] in the place of [engines]; each does the work of its position. */
    internal fun withEngines(used: List<KnownEndpoint>): Assignment {
        require(used.size == engines.size) { "${used.size} engines instead of ${engines.size}" }
        val forecast = spares.filter { it.endpoint in used }.maxOfOrNull { it.forecastMillis } ?: 0.0
        return Assignment(
            used.first(),
            used.drop(1),
            maxOf(forecastMillis, forecast),
            used.mapIndexed(::estimateAt),
            reservedTokens,
        )
    }
}

/** An engine that may replace one of an assignment, with the forecast time to the first token if it does. */
public class SpareEngine internal constructor(internal val endpoint: KnownEndpoint, internal val forecastMillis: Double)

/** Endpoints that may get a request: [all] of them, and of these the [home] and [overflow] ones of this instance. */
public class Candidates(
    public val home: List<KnownEndpoint>,
    public val overflow: List<KnownEndpoint>,
    public val all: List<KnownEndpoint>,
    /** Positions of the endpoints in the partition for long prompts, from 0 to 1; empty if there is none. */
    public val longPromptPositions: Map<EndpointId, Double> = emptyMap(),
)

/** Assigns requests to endpoints. Confined to the event loop. */
public class Placement internal constructor(
    private val load: FleetLoad,
    private val health: EndpointHealth,
    private val random: Random = Random.Default,
    private val nowMillis: () -> Long,
) {
    private val choice = CompletionTimeChoice(load.estimates, random)

    /** Returns the best assignment of [request] to [endpoints], or null if none of them can take it. */
    public fun chooseOrNull(request: PlacementRequest, endpoints: Candidates): Assignment? {
        val home = healthyOf(request, endpoints.home)
        val overflow = if (home.isEmpty()) emptyList() else healthyOf(request, endpoints.overflow)
        val candidates = (home + overflow)
            .ifEmpty { healthyOf(request, endpoints.all) }
            .ifEmpty { notExcludedOf(request, endpoints.all) }
        val engine = request.service.engine
        return when {
            candidates.isEmpty() -> null
            engine == null || request.tokenCounts == null -> leastLoadedAssignment(candidates)
            else -> {
                val share = longPromptShareOf(engine, candidates)
                val views = viewsOf(engine, candidates, firstOverflow = candidates.size - overflow.size) {
                    endpoints.longPromptPositions.getOrDefault(it.id, 1.0) < share
                }
                EnginePlacement(request, engine, request.tokenCounts, views).bestOrNull()
            }
        }
    }

    private fun healthyOf(request: PlacementRequest, endpoints: List<KnownEndpoint>): List<KnownEndpoint> =
        notExcludedOf(request, endpoints).filterNot { health.isSuspected(it.published.incarnation) }

    private fun notExcludedOf(request: PlacementRequest, endpoints: List<KnownEndpoint>): List<KnownEndpoint> =
        endpoints.filter { it.published.incarnation !in request.excluded }

    /**
     * Takes the endpoint with the shortest expected completion time, or the least loaded one while none has samples.
     * Instances do not tell each other of such requests, so of equally loaded endpoints each takes a random one.
     */
    private fun leastLoadedAssignment(candidates: List<KnownEndpoint>): Assignment {
        val now = nowMillis()
        val states = candidates.map {
            val incarnation = it.published.incarnation
            val requests = load.at(incarnation).requestsAt(now)
            ChoiceCandidate(incarnation, maxOf(1, it.published.slots), requests, health.failureScore(incarnation))
        }
        val index = choice.bestOrNull(states)
            ?: states.indices.shuffled(random).minBy {
                states[it].requests.toDouble() / states[it].slots + states[it].failureScore
            }
        val best = candidates[index]
        val estimate = WorkEstimate(best.published.incarnation, 0.0, PLAIN_ESTIMATE_MILLIS, 0, 0)
        return Assignment(best, emptyList(), forecastMillis = 0.0, listOf(estimate), reservedTokens = 0)
    }

    private fun longPromptShareOf(engine: EngineSpeeds, candidates: List<KnownEndpoint>): Double {
        val now = nowMillis()
        val works = candidates.map { load.at(it.published.incarnation) }
        val longPrefill = works.sumOf { it.longPrefill.perMilli(now) }
        return longPromptShareOf(longPrefill, works.sumOf { it.shortStreams }, maxOf(1, engine.slots), candidates.size)
    }

    private fun viewsOf(
        engine: EngineSpeeds,
        candidates: List<KnownEndpoint>,
        firstOverflow: Int,
        isForLongPrompts: (KnownEndpoint) -> Boolean,
    ): List<EngineView> {
        val now = nowMillis()
        return candidates.mapIndexed { index, endpoint ->
            val incarnation = endpoint.published.incarnation
            val role = EngineRole(isOverflow = index >= firstOverflow, isForLongPrompts(endpoint))
            EngineView(endpoint, load.at(incarnation), health.failureScore(incarnation), role, engine, now)
        }
    }
}

/** Estimated time of a request to a service without model engines. */
internal const val PLAIN_ESTIMATE_MILLIS: Double = 40.0
