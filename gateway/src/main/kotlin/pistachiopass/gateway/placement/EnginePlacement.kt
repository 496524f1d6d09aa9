/**
 * The choice of engines for one prompt: alone, by several engines at once, or with reserved memory.
 *
 * Each choice has the least expected cost: the chance that the request itself is late, weighed by its size, plus the
 * chance that writers there pause for too long.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.PromptSize
import pistachiopass.gateway.state.KnownEndpoint
import kotlin.math.ceil

/** What the choice needs to know of one engine, read once. */
internal class EngineView(
    val endpoint: KnownEndpoint,
    work: EndpointWork,
    val failureScore: Double,
    private val engine: EngineSpeeds,
    nowMillis: Long,
) {
    val backlogMillis: Double = work.backlogMillis(nowMillis)
    val slowness: Double = work.slowness
    val requests: Int = work.requestsAt(nowMillis)
    val decodingRequests: Int = work.decodingRequests
    val contextTokens: Long = work.contextTokens
    val passMillis: Double =
        if (requests > 0) engine.passMillis(maxOf(decodingRequests, 1), contextTokens) * slowness else 0.0
    private val gapTargetsMillis: List<Long> =
        work.placed.filter { it.estimate.decodeMillis > 0 }.map { it.estimate.gapTargetMillis }.filter { it > 0 }

    /** Returns the expected number of writers here that pause too long if [prefillMillis] more is read in one pass. */
    fun expectedStalls(prefillMillis: Double): Double {
        val gapMillis = passMillis + backlogMillis + prefillMillis * slowness
        return gapTargetsMillis.sumOf { risk(gapMillis / it) }
    }

    /** Returns the memory that is free for a new request, as far as known. */
    fun freeTokens(): Long = engine.memoryTokens - contextTokens
}

/** Finds the cheapest place for one prompt. */
internal class EnginePlacement(
    private val request: PlacementRequest,
    private val engine: EngineSpeeds,
    private val prompt: PromptSize,
    private val views: List<EngineView>,
) {
    private val prefillMillis = engine.prefillMillis(prompt.promptTokens)
    private val contextTokens = prompt.promptTokens + prompt.answerTokens
    private val ownWeight = 1 + prefillMillis / WEIGHT_READ_MILLIS
    private val leftMillis = maxOf(1L, request.route.objectiveMillis - request.elapsedMillis).toDouble()

    fun bestOrNull(): Assignment? {
        if (contextTokens > engine.memoryTokens * MEMORY_PART) return reservedAssignmentOrNull()
        val alone = views.map { Option(listOf(it), costAlone(it)) }.minBy { it.cost }
        val split = if (prefillMillis >= SPLIT_PREFILL_MIN_MILLIS) splitOptions().minByOrNull { it.cost } else null
        return assignmentOf(if (split != null && split.cost < alone.cost) split else alone, reservedTokens = 0)
    }

    private class Option(val engines: List<EngineView>, val cost: Double)

    private fun costAlone(view: EngineView): Double = costOf(listOf(view)) - packingBonus(view)

    /** Prefers engines that write already, for short prompts only, while their batch has room. */
    private fun packingBonus(view: EngineView): Double {
        val mayPack = prefillMillis <= PACK_PREFILL_MAX_MILLIS && view.requests <= engine.slots * PACK_SLOT_FRACTION
        return if (mayPack) view.decodingRequests * PACK_BONUS else 0.0
    }

    private fun splitOptions(): List<Option> {
        val partOf = { count: Int -> prefillMillis / count }
        return SPLIT_ENGINE_COUNTS.filter { it <= views.size }.map { count ->
            val ranked = views.sortedBy { marginal(it, partOf(count)) }.take(count)
            Option(ranked, costOf(ranked))
        }
    }

    private fun marginal(view: EngineView, part: Double): Double =
        view.expectedStalls(part) + view.backlogMillis / leftMillis * ownWeight + view.failureScore * ownWeight + crowding(view)

    private fun costOf(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val first = engines[0]
        val late = risk(firstTokenMillis(engines) / leftMillis) * ownWeight
        val stalls = engines.sumOf { it.expectedStalls(part) - it.expectedStalls(0.0) }
        val failure = engines.sumOf { it.failureScore + HELPER_RISK } * ownWeight
        return late + stalls + failure + crowding(first)
    }

    private fun firstTokenMillis(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val slowest = engines.maxOf { it.backlogMillis + part * it.slowness + it.passMillis }
        return slowest + PASS_SHARE * engine.passMillis(engines[0].decodingRequests + 1, engines[0].contextTokens)
    }

    /** Costs of a batch without room and of memory without room. */
    private fun crowding(view: EngineView): Double {
        val over = maxOf(0, view.requests + 1 - engine.slots)
        val isTight = view.freeTokens() < contextTokens
        return over * OVER_WEIGHT + if (isTight) TIGHT_WEIGHT else 0.0
    }

    /** Returns a place for a prompt that one engine cannot hold: memory is reserved in equal parts. */
    private fun reservedAssignmentOrNull(): Assignment? {
        val count = maxOf(2, ceil(contextTokens / (engine.memoryTokens * RESERVED_PART)).toInt())
        val wide = maxOf(count, minOf(RESERVED_COUNT, views.size))
        if (count > views.size) return null
        val tokens = ceil(contextTokens.toDouble() / wide).toLong()
        val ranked = views.sortedBy {
            val tight = if (it.freeTokens() < tokens) TIGHT_WEIGHT * ownWeight else 0.0
            marginal(it, prefillMillis / wide) + tight
        }
        return assignmentOf(Option(ranked.take(wide), 0.0), tokens)
    }

    private fun assignmentOf(option: Option, reservedTokens: Long): Assignment {
        val part = prefillMillis / option.engines.size
        val first = option.engines[0]
        val write = engine.decodeMillis(prompt.answerTokens, first.decodingRequests, first.contextTokens)
        val held = if (reservedTokens > 0) reservedTokens else contextTokens
        val estimates = option.engines.mapIndexed { index, view ->
            WorkEstimate(
                view.endpoint.published.incarnation,
                part,
                if (index == 0) write else 0.0,
                if (index == 0 || reservedTokens > 0) held else 0,
                request.route.pauseMillis ?: 0,
            )
        }
        val forecast = firstTokenMillis(option.engines)
        return Assignment(
            first.endpoint,
            option.engines.drop(1).map { it.endpoint },
            forecast,
            estimates,
            reservedTokens,
        )
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
private val SPLIT_ENGINE_COUNTS: IntRange = 2..SPLIT_ENGINES_MAX
private const val SPLIT_ENGINES_MAX: Int = 16

/** Reading time from which on joint reading is weighed: well over the time of the orders and hops that it needs. */
private const val SPLIT_PREFILL_MIN_MILLIS: Double = 100.0

/** A request counts as one more short request for each such span of reading time. */
private const val WEIGHT_READ_MILLIS: Double = 150.0

/** Prompts up to this reading time gather. */
private const val PACK_PREFILL_MAX_MILLIS: Double = 100.0
private const val PACK_SLOT_FRACTION: Double = 0.7
private const val PACK_BONUS: Double = 0.01

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
