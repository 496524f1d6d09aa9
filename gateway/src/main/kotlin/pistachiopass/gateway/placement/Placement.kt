/**
 * Places requests on endpoints by forecast.
 *
 * Load that this answers: prompts of a thousand to a million tokens on the same engines. One long prompt that is read
 * by one engine misses its own objective and holds up every writer there beyond the pause that its caller bears. So a
 * long prompt is read by several engines at once, chosen where few requests write, and short prompts gather on engines
 * that write already, up to their batch slots, which leaves others free of writers. Nothing is reserved for either.
 *
 * Each choice has the least expected cost: the chance that the request itself is late, weighed by its size, plus the
 * chance that writers there pause for too long.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.PromptSize
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.state.KnownEndpoint
import kotlin.math.ceil

/** A request that needs an endpoint. */
public class PlacementAsk(
    public val route: Route,
    public val service: Service,
    public val prompt: PromptSize?,
    /** Time since the request arrived. */
    public val elapsedMillis: Long,
    /** Endpoints that have failed this request. */
    public val excluded: Set<Incarnation>,
)

/** A place for a request: the endpoint that gets it and those that read parts of its prompt. */
public class Place(
    public val endpoint: KnownEndpoint,
    public val helpers: List<KnownEndpoint>,
    /** Forecast time to the first token or to the answer. */
    public val forecastMillis: Double,
    /** Work that the request brings, the first entry to [endpoint]. */
    public val hints: List<WorkHint>,
    /** Tokens to reserve at each helper; 0 if the prompt fits the first endpoint. */
    public val reservedTokens: Long,
)

/** Chooses places. All calls come from the event loop. */
public class Placement internal constructor(
    private val load: FleetLoad,
    private val health: EndpointHealth,
    private val nowMillis: () -> Long,
) {
    /** Returns the best place for [ask] among [endpoints], or null if there is none. */
    public fun chooseOrNull(ask: PlacementAsk, endpoints: List<KnownEndpoint>): Place? {
        val left = endpoints.filter { it.published.incarnation !in ask.excluded }
        val sound = left.filterNot { health.isSuspected(it.published.incarnation) }
        val candidates = sound.ifEmpty { left }
        val engine = ask.service.engine
        return when {
            candidates.isEmpty() -> null
            engine == null || ask.prompt == null -> plainPlace(candidates)
            else -> engineTerms(ask, engine, ask.prompt, candidates).best()
        }
    }

    private fun plainPlace(candidates: List<KnownEndpoint>): Place {
        val now = nowMillis()
        val best = candidates.minBy {
            val incarnation = it.published.incarnation
            load.at(incarnation).requestsAt(now).toDouble() / maxOf(1, it.published.slots) + health.penalty(incarnation)
        }
        val hint = WorkHint(best.published.incarnation, 0.0, PLAIN_HINT_MILLIS, 0, 0)
        return Place(best, emptyList(), forecastMillis = 0.0, listOf(hint), reservedTokens = 0)
    }

    private fun engineTerms(
        ask: PlacementAsk,
        engine: EngineSpeeds,
        prompt: PromptSize,
        candidates: List<KnownEndpoint>,
    ): EnginePlacement {
        val now = nowMillis()
        val views = candidates.map {
            val incarnation = it.published.incarnation
            EngineView(it, load.at(incarnation), health.penalty(incarnation), engine, now)
        }
        return EnginePlacement(ask, engine, prompt, views)
    }
}

/** What the choice needs to know of one engine, read once. */
internal class EngineView(
    val endpoint: KnownEndpoint,
    work: EndpointWork,
    val penalty: Double,
    private val engine: EngineSpeeds,
    nowMillis: Long,
) {
    val backlogMillis: Double = work.backlogMillis(nowMillis)
    val slowness: Double = work.slowness
    val requests: Int = work.requestsAt(nowMillis)
    val writers: Int = work.writers
    val contextTokens: Long = work.contextTokens
    val passMillis: Double = if (requests > 0) engine.passMillis(maxOf(writers, 1), contextTokens) * slowness else 0.0
    private val pauses: List<Long> =
        work.placed.filter { it.hint.writeMillis > 0 }.map { it.hint.pauseMillis }.filter { it > 0 }

    /** Returns the expected number of writers here that pause too long if [readMillis] more is read in one pass. */
    fun harm(readMillis: Double): Double {
        val pauseMillis = passMillis + backlogMillis + readMillis * slowness
        return pauses.sumOf { risk(pauseMillis / it) }
    }

    /** Returns the memory that is free for a new request, as far as known. */
    fun freeTokens(): Long = engine.memoryTokens - contextTokens
}

/** Finds the cheapest place for one prompt. */
internal class EnginePlacement(
    private val ask: PlacementAsk,
    private val engine: EngineSpeeds,
    private val prompt: PromptSize,
    private val views: List<EngineView>,
) {
    private val readMillis = engine.readMillis(prompt.promptTokens)
    private val contextTokens = prompt.promptTokens + prompt.answerTokens
    private val ownWeight = 1 + readMillis / WEIGHT_READ_MILLIS
    private val leftMillis = maxOf(1L, ask.route.objectiveMillis - ask.elapsedMillis).toDouble()

    fun best(): Place? {
        if (contextTokens > engine.memoryTokens * MEMORY_PART) return reservedPlaceOrNull()
        val alone = views.map { Option(listOf(it), costAlone(it)) }.minBy { it.cost }
        val joint = if (readMillis >= JOINT_READ_MILLIS) jointOptions().minByOrNull { it.cost } else null
        return placeOf(if (joint != null && joint.cost < alone.cost) joint else alone, reservedTokens = 0)
    }

    private class Option(val engines: List<EngineView>, val cost: Double)

    private fun costAlone(view: EngineView): Double = costOf(listOf(view)) - gathering(view)

    /** Prefers engines that write already, for short prompts only, while their batch has room. */
    private fun gathering(view: EngineView): Double {
        val mayGather = readMillis <= GATHER_READ_MILLIS && view.requests <= engine.slots * GATHER_PART
        return if (mayGather) view.writers * GATHER_WEIGHT else 0.0
    }

    private fun jointOptions(): List<Option> {
        val partOf = { count: Int -> readMillis / count }
        return JOINT_COUNTS.filter { it <= views.size }.map { count ->
            val ranked = views.sortedBy { marginal(it, partOf(count)) }.take(count)
            Option(ranked, costOf(ranked))
        }
    }

    private fun marginal(view: EngineView, part: Double): Double =
        view.harm(part) + view.backlogMillis / leftMillis * ownWeight + view.penalty * ownWeight + crowding(view)

    private fun costOf(engines: List<EngineView>): Double {
        val part = readMillis / engines.size
        val first = engines[0]
        val late = risk(firstTokenMillis(engines) / leftMillis) * ownWeight
        val harm = engines.sumOf { it.harm(part) - it.harm(0.0) }
        val failure = engines.sumOf { it.penalty + HELPER_RISK } * ownWeight
        return late + harm + failure + crowding(first)
    }

    private fun firstTokenMillis(engines: List<EngineView>): Double {
        val part = readMillis / engines.size
        val slowest = engines.maxOf { it.backlogMillis + part * it.slowness + it.passMillis }
        return slowest + PASS_SHARE * engine.passMillis(engines[0].writers + 1, engines[0].contextTokens)
    }

    /** Costs of a batch without room and of memory without room. */
    private fun crowding(view: EngineView): Double {
        val over = maxOf(0, view.requests + 1 - engine.slots)
        val isTight = view.freeTokens() < contextTokens
        return over * OVER_WEIGHT + if (isTight) TIGHT_WEIGHT else 0.0
    }

    /** Returns a place for a prompt that one engine cannot hold: memory is reserved in equal parts. */
    private fun reservedPlaceOrNull(): Place? {
        val count = maxOf(2, ceil(contextTokens / (engine.memoryTokens * RESERVED_PART)).toInt())
        val wide = maxOf(count, minOf(RESERVED_COUNT, views.size))
        if (count > views.size) return null
        val tokens = ceil(contextTokens.toDouble() / wide).toLong()
        val ranked = views.sortedBy {
            val tight = if (it.freeTokens() < tokens) TIGHT_WEIGHT * ownWeight else 0.0
            marginal(it, readMillis / wide) + tight
        }
        return placeOf(Option(ranked.take(wide), 0.0), tokens)
    }

    private fun placeOf(option: Option, reservedTokens: Long): Place {
        val part = readMillis / option.engines.size
        val first = option.engines[0]
        val write = engine.writeMillis(prompt.answerTokens, first.writers, first.contextTokens)
        val held = if (reservedTokens > 0) reservedTokens else contextTokens
        val hints = option.engines.mapIndexed { index, view ->
            WorkHint(
                view.endpoint.published.incarnation,
                part,
                if (index == 0) write else 0.0,
                if (index == 0 || reservedTokens > 0) held else 0,
                ask.route.pauseMillis ?: 0,
            )
        }
        val forecast = firstTokenMillis(option.engines)
        return Place(first.endpoint, option.engines.drop(1).map { it.endpoint }, forecast, hints, reservedTokens)
    }
}

/** Returns the chance of missing a bound of which the forecast uses the part [ratio]; it grows slowly past 1. */
internal fun risk(ratio: Double): Double =
    when {
        ratio <= RISK_FROM -> 0.0
        ratio <= RISK_TO -> (ratio - RISK_FROM) / (RISK_TO - RISK_FROM)
        else -> 1 + (ratio - RISK_TO) * RISK_BEYOND
    }

/** Numbers of engines that are weighed for reading one prompt together; the wire allows 17. */
private val JOINT_COUNTS: IntRange = 2..JOINT_MAX
private const val JOINT_MAX: Int = 16

/** Reading time from which on joint reading is weighed: well over the time of the orders and hops that it needs. */
private const val JOINT_READ_MILLIS: Double = 100.0

/** A request counts as one more short request for each such span of reading time. */
private const val WEIGHT_READ_MILLIS: Double = 150.0

/** Prompts up to this reading time gather. */
private const val GATHER_READ_MILLIS: Double = 100.0
private const val GATHER_PART: Double = 0.7
private const val GATHER_WEIGHT: Double = 0.01

/** Cost for each request beyond the batch slots: it waits for a whole answer of another. */
private const val OVER_WEIGHT: Double = 2.0

/** Cost of memory without room: the newest request is preempted and read again. */
private const val TIGHT_WEIGHT: Double = 3.0

/** Chance that one engine fails while it reads a part. */
private const val HELPER_RISK: Double = 0.002

/** The first token follows the pass in which the prompt was read. */
private const val PASS_SHARE: Double = 1.0

/** Part of an engine's memory that one request may take without reservations. */
private const val MEMORY_PART: Double = 0.9

/** Part of an engine's memory that one reservation may take. */
private const val RESERVED_PART: Double = 0.5
private const val RESERVED_COUNT: Int = 8
private const val RISK_FROM: Double = 0.4
private const val RISK_TO: Double = 1.1
private const val RISK_BEYOND: Double = 0.2
private const val PLAIN_HINT_MILLIS: Double = 40.0
