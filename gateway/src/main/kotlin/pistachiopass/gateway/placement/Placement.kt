/**
 * Places requests on endpoints by forecast.
 *
 * Load that this answers: prompts of a thousand to a million tokens on the same engines. One long prompt that is read
 * by one engine misses its own objective and holds up every writer there beyond the pause that its caller bears. So a
 * long prompt is read by several engines at once, chosen where few requests write, and short prompts gather on engines
 * that write already, up to their batch slots, which leaves others free of writers. Nothing is reserved for either.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.PromptSize
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.state.KnownEndpoint

/** A request that needs an endpoint. */
public class PlacementRequest(
    public val route: Route,
    public val service: Service,
    public val prompt: PromptSize?,
    /** Time since the request arrived. */
    public val elapsedMillis: Long,
    /** Endpoints that have failed this request. */
    public val excluded: Set<Incarnation>,
)

/** A place for a request: the endpoint that gets it and those that read parts of its prompt. */
public class Assignment(
    public val endpoint: KnownEndpoint,
    public val helpers: List<KnownEndpoint>,
    /** Forecast time to the first token or to the answer. */
    public val forecastMillis: Double,
    /** Work that the request brings, the first entry to [endpoint]. */
    public val estimates: List<WorkEstimate>,
    /** Tokens to reserve at each helper; 0 if the prompt fits the first endpoint. */
    public val reservedTokens: Long,
)

/** Chooses places. All calls come from the event loop. */
public class Placement internal constructor(
    private val load: FleetLoad,
    private val health: EndpointHealth,
    private val nowMillis: () -> Long,
) {
    /** Returns the best place for [request] among [endpoints], or null if there is none. */
    public fun chooseOrNull(request: PlacementRequest, endpoints: List<KnownEndpoint>): Assignment? {
        val left = endpoints.filter { it.published.incarnation !in request.excluded }
        val sound = left.filterNot { health.isSuspected(it.published.incarnation) }
        val candidates = sound.ifEmpty { left }
        val engine = request.service.engine
        return when {
            candidates.isEmpty() -> null
            engine == null || request.prompt == null -> leastLoadedAssignment(candidates)
            else -> enginePlacementOf(request, engine, request.prompt, candidates).bestOrNull()
        }
    }

    private fun leastLoadedAssignment(candidates: List<KnownEndpoint>): Assignment {
        val now = nowMillis()
        val best = candidates.minBy {
            val incarnation = it.published.incarnation
            load.at(incarnation).requestsAt(now).toDouble() / maxOf(1, it.published.slots) +
                health.failureScore(incarnation)
        }
        val estimate = WorkEstimate(best.published.incarnation, 0.0, PLAIN_ESTIMATE_MILLIS, 0, 0)
        return Assignment(best, emptyList(), forecastMillis = 0.0, listOf(estimate), reservedTokens = 0)
    }

    private fun enginePlacementOf(
        request: PlacementRequest,
        engine: EngineSpeeds,
        prompt: PromptSize,
        candidates: List<KnownEndpoint>,
    ): EnginePlacement {
        val now = nowMillis()
        val views = candidates.map {
            val incarnation = it.published.incarnation
            EngineView(it, load.at(incarnation), health.failureScore(incarnation), engine, now)
        }
        return EnginePlacement(request, engine, prompt, views)
    }
}

/** Time for which a request of a plain service counts at other instances, as its own end is not told. */
private const val PLAIN_ESTIMATE_MILLIS: Double = 40.0
