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
    private val requestWeight = 1 + prefillMillis / WEIGHT_PREFILL_MILLIS
    private val remainingMillis = maxOf(1L, request.route.objectiveMillis - request.elapsedMillis).toDouble()

    fun bestOrNull(): Assignment? {
        if (contextTokens > engine.memoryTokens * MEMORY_FRACTION) return reservedAssignmentOrNull()
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
            val ranked = views.sortedBy { marginalCost(it, partOf(count)) }.take(count)
            Option(ranked, costOf(ranked))
        }
    }

    private fun marginalCost(view: EngineView, part: Double): Double =
        view.expectedStalls(part) + view.backlogMillis / remainingMillis * requestWeight +
            view.failureScore * requestWeight + overloadCost(view)

    private fun costOf(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val first = engines[0]
        val late = risk(firstTokenMillis(engines) / remainingMillis) * requestWeight
        val stalls = engines.sumOf { it.expectedStalls(part) - it.expectedStalls(0.0) }
        val failure = engines.sumOf { it.failureScore + ENGINE_FAILURE_RISK } * requestWeight
        return late + stalls + failure + overloadCost(first)
    }

    private fun firstTokenMillis(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val slowest = engines.maxOf { it.backlogMillis + part * it.slowness + it.passMillis }
        return slowest +
            FIRST_TOKEN_PASSES * engine.passMillis(engines[0].decodingRequests + 1, engines[0].contextTokens)
    }

    /** Costs of a batch without room and of memory without room. */
    private fun overloadCost(view: EngineView): Double {
        val excessRequests = maxOf(0, view.requests + 1 - engine.slots)
        val isMemoryShort = view.freeTokens() < contextTokens
        return excessRequests * EXCESS_REQUEST_COST + if (isMemoryShort) MEMORY_SHORT_COST else 0.0
    }

    /** Returns a place for a prompt that one engine cannot hold: memory is reserved in equal parts. */
    private fun reservedAssignmentOrNull(): Assignment? {
        val count = maxOf(2, ceil(contextTokens / (engine.memoryTokens * RESERVED_FRACTION)).toInt())
        val engineCount = maxOf(count, minOf(RESERVED_ENGINES, views.size))
        if (count > views.size) return null
        val tokens = ceil(contextTokens.toDouble() / engineCount).toLong()
        val ranked = views.sortedBy {
            val memoryCost = if (it.freeTokens() < tokens) MEMORY_SHORT_COST * requestWeight else 0.0
            marginalCost(it, prefillMillis / engineCount) + memoryCost
        }
        return assignmentOf(Option(ranked.take(engineCount), 0.0), tokens)
    }

    private fun assignmentOf(option: Option, reservedTokens: Long): Assignment {
        val part = prefillMillis / option.engines.size
        val first = option.engines[0]
        val decodeMillis = engine.decodeMillis(prompt.answerTokens, first.decodingRequests, first.contextTokens)
        val heldTokens = if (reservedTokens > 0) reservedTokens else contextTokens
        val estimates = option.engines.mapIndexed { index, view ->
            WorkEstimate(
                view.endpoint.published.incarnation,
                part,
                if (index == 0) decodeMillis else 0.0,
                if (index == 0 || reservedTokens > 0) heldTokens else 0,
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
        ratio <= RISK_START_RATIO -> 0.0
        ratio <= RISK_FULL_RATIO -> (ratio - RISK_START_RATIO) / (RISK_FULL_RATIO - RISK_START_RATIO)
        else -> 1 + (ratio - RISK_FULL_RATIO) * RISK_EXCESS_SLOPE
    }

/** Numbers of engines that are weighed for reading one prompt together; the wire allows 17. */
private val SPLIT_ENGINE_COUNTS: IntRange = 2..SPLIT_ENGINES_MAX
private const val SPLIT_ENGINES_MAX: Int = 16

/** Reading time from which on joint reading is weighed: well over the time of the orders and hops that it needs. */
private const val SPLIT_PREFILL_MIN_MILLIS: Double = 100.0

/** A request counts as one more short request for each such span of reading time. */
private const val WEIGHT_PREFILL_MILLIS: Double = 150.0

/** Prompts up to this reading time gather. */
private const val PACK_PREFILL_MAX_MILLIS: Double = 100.0
private const val PACK_SLOT_FRACTION: Double = 0.7
private const val PACK_BONUS: Double = 0.01

/** Cost for each request beyond the batch slots: it waits for a whole answer of another. */
private const val EXCESS_REQUEST_COST: Double = 2.0

/** Cost of memory without room: the newest request is preempted and read again. */
private const val MEMORY_SHORT_COST: Double = 3.0

/** Chance that one engine fails while it reads a part. */
private const val ENGINE_FAILURE_RISK: Double = 0.002

/** The first token follows the pass in which the prompt was read. */
private const val FIRST_TOKEN_PASSES: Double = 1.0

/** Part of an engine's memory that one request may take without reservations. */
private const val MEMORY_FRACTION: Double = 0.9

/** Part of an engine's memory that one reservation may take. */
private const val RESERVED_FRACTION: Double = 0.5
private const val RESERVED_ENGINES: Int = 8
private const val RISK_START_RATIO: Double = 0.4
private const val RISK_FULL_RATIO: Double = 1.1
private const val RISK_EXCESS_SLOPE: Double = 0.2
