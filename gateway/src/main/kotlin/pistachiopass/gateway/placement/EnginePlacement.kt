/**
 * Chooses the model engines for one prompt: a single engine, a prefill that is split over several engines, or several
 * engines with reserved memory if the prompt does not fit one.
 *
 * The choice with the lowest expected cost wins. The cost is the risk that the request itself misses its target,
 * weighted by its size, plus the expected number of other requests whose streams stall because of it.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.routing.isLongPrefill

/** What an engine is for: overflow of other data centres, and the side of the partition for long prompts. */
internal class EngineRole(val isOverflow: Boolean, val isForLongPrompts: Boolean)

/** State of one engine on which the choice depends, read once per request. */
internal class EngineView(
    val endpoint: KnownEndpoint,
    work: EndpointWork,
    val failureScore: Double,
    private val role: EngineRole,
    private val engine: EngineSpeeds,
    nowMillis: Long,
) {
    val isForLongPrompts: Boolean get() = role.isForLongPrompts
    val distanceCost: Double = if (role.isOverflow) OVERFLOW_COST else 0.0
    val backlogMillis: Double = work.backlogMillis(nowMillis)
    val slotWaitMillis: Double = work.slotWaitMillis(engine.slots, nowMillis)
    val slowness: Double = work.slowness
    val requests: Int = work.requestsAt(nowMillis)
    val decodingRequests: Int = work.decodingRequests
    val contextTokens: Long = work.contextTokens
    val passMillis: Double =
        if (requests > 0) engine.passMillis(maxOf(decodingRequests, 1), contextTokens) * slowness else 0.0
    private val gapTargetsMillis: List<Long> =
        work.placed.filter { it.estimate.decodeMillis > 0 }.map { it.estimate.gapTargetMillis }.filter { it > 0 }

    /** Returns how many requests here are expected to miss their gap target if [prefillMillis] is added to one pass. */
    fun expectedStalls(prefillMillis: Double): Double {
        val gapMillis = passMillis + backlogMillis + prefillMillis * slowness
        return gapTargetsMillis.sumOf { risk(gapMillis / it) }
    }

    /** Returns the cost of a prompt, which [isLong] or not, on an engine of the other side of the partition. */
    fun partitionCost(isLong: Boolean): Double =
        when {
            isForLongPrompts == isLong -> 0.0
            isLong -> LONG_ON_STREAM_ENGINE_COST
            else -> STREAM_ON_LONG_ENGINE_COST
        }

    /** Returns the KV cache memory that is free for a new request, as far as known. */
    fun freeTokens(): Long = engine.memoryTokens - contextTokens
}

/** Finds the cheapest assignment for one prompt. */
internal class EnginePlacement(
    private val request: PlacementRequest,
    private val engine: EngineSpeeds,
    private val tokenCounts: TokenCounts,
    private val views: List<EngineView>,
) {
    private val prefillMillis = engine.prefillMillis(tokenCounts.promptTokens)
    private val contextTokens = tokenCounts.promptTokens + tokenCounts.answerTokens
    private val requestWeight = 1 + prefillMillis / WEIGHT_PREFILL_MILLIS
    private val isLong =
        isLongPrefill(prefillMillis, engine.passMillis(engine.slots, contextTokens = 0), request.gapTargetMinMillis)
    private val remainingMillis = maxOf(1L, request.route.targetLatencyMillis - request.elapsedMillis).toDouble()

    fun bestOrNull(): Assignment? {
        if (contextTokens > engine.memoryTokens * MEMORY_FRACTION) return reservedAssignmentOrNull()
        val alone = views.map { Option(listOf(it), costAlone(it)) }.minBy { it.cost }
        val split = if (prefillMillis >= SPLIT_PREFILL_MIN_MILLIS) splitOptions().minByOrNull { it.cost } else null
        return assignmentOf(if (split != null && split.cost < alone.cost) split else alone, reservedTokens = 0)
    }

    private class Option(val engines: List<EngineView>, val cost: Double)

    private fun costAlone(view: EngineView): Double = costOf(listOf(view)) - packingBonus(view)

    /** Returns the discount for an engine that decodes already; only short prompts get it, while the batch has room. */
    private fun packingBonus(view: EngineView): Double {
        val mayPack = prefillMillis <= PACK_PREFILL_MAX_MILLIS && view.requests <= engine.slots * PACK_SLOT_FRACTION
        return if (mayPack && !view.isForLongPrompts) view.decodingRequests * PACK_BONUS else 0.0
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
            view.failureScore * requestWeight + view.distanceCost + view.partitionCost(isLong) + overloadCost(view)

    private fun costOf(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val first = engines[0]
        val late = risk(firstTokenMillis(engines) / remainingMillis) * requestWeight
        val stalls = engines.sumOf { it.expectedStalls(part) - it.expectedStalls(0.0) }
        val failure = engines.sumOf { it.failureScore + ENGINE_FAILURE_RISK } * requestWeight
        val choice = engines.sumOf { it.distanceCost + it.partitionCost(isLong) }
        return late + stalls + failure + choice + overloadCost(first)
    }

    private fun firstTokenMillis(engines: List<EngineView>): Double {
        val part = prefillMillis / engines.size
        val slowest = engines.maxOf { it.backlogMillis + part * it.slowness + it.passMillis }
        return maxOf(slowest, engines[0].slotWaitMillis) +
            FIRST_TOKEN_PASSES * engine.passMillis(engines[0].decodingRequests + 1, engines[0].contextTokens)
    }

    /** Returns the cost of exceeding the batch slots and the memory of an engine. */
    private fun overloadCost(view: EngineView): Double {
        val excessRequests = maxOf(0, view.requests + 1 - engine.slots)
        val isMemoryShort = view.freeTokens() < contextTokens
        return excessRequests * EXCESS_REQUEST_COST + if (isMemoryShort) MEMORY_SHORT_COST else 0.0
    }

    private fun reservedAssignmentOrNull(): Assignment? =
        ReservedPlacement(engine, tokenCounts, views, EngineCosts(::marginalCost, ::costOf)).chooseOrNull()
            ?.let { assignmentOf(Option(it.engines, 0.0), it.tokens, it.spares) }

    private fun assignmentOf(
        option: Option,
        reservedTokens: Long,
        spares: List<EngineView> = emptyList(),
    ): Assignment {
        val part = prefillMillis / option.engines.size
        val first = option.engines[0]
        val decodeMillis = engine.decodeMillis(tokenCounts.answerTokens, first.decodingRequests, first.contextTokens)
        val heldTokens = if (reservedTokens > 0) reservedTokens else contextTokens
        val forecast = firstTokenMillis(option.engines)
        val isSplit = option.engines.size > 1
        val estimates = option.engines.mapIndexed { index, view ->
            val isHolding = index == 0 || reservedTokens > 0
            WorkEstimate(
                view.endpoint.published.incarnation,
                part,
                if (index == 0) decodeMillis else 0.0,
                if (isHolding) heldTokens else 0,
                request.route.gapTargetMillis ?: 0,
                if (isHolding && isSplit) forecast + decodeMillis else 0.0,
                isLong,
            )
        }
        return Assignment(
            first.endpoint,
            option.engines.drop(1).map { it.endpoint },
            forecast,
            estimates,
            reservedTokens,
            spares.map { SpareEngine(it.endpoint, firstTokenMillis(listOf(it) + option.engines.drop(1))) },
        )
    }
}

/**
 * Returns the risk of exceeding a limit when the forecast is [ratio] times the limit. Past 1, the value keeps growing
 * slowly, so that a worse forecast always costs more.
 */
internal fun risk(ratio: Double): Double =
    when {
        ratio <= RISK_START_RATIO -> 0.0
        ratio <= RISK_FULL_RATIO -> (ratio - RISK_START_RATIO) / (RISK_FULL_RATIO - RISK_START_RATIO)
        else -> 1 + (ratio - RISK_FULL_RATIO) * RISK_EXCESS_SLOPE
    }

/** Numbers of engines that are considered for a split prefill; the protocol allows up to 17. */
private val SPLIT_ENGINE_COUNTS: IntRange = 2..SPLIT_ENGINES_MAX
private const val SPLIT_ENGINES_MAX: Int = 16

/** Shortest prefill that is split; well above the cost of the extra requests and network hops of a split. */
private const val SPLIT_PREFILL_MIN_MILLIS: Double = 100.0

/** Prefill time for which the weight of a request grows by 1, the weight of a request without prefill. */
private const val WEIGHT_PREFILL_MILLIS: Double = 150.0

/** Longest prefill of a request that is packed onto engines that decode already. */
private const val PACK_PREFILL_MAX_MILLIS: Double = 100.0

/** Part of the batch slots up to which requests are packed onto an engine. */
private const val PACK_SLOT_FRACTION: Double = 0.7
private const val PACK_BONUS: Double = 0.01

/** Cost for each request beyond the batch slots: it waits until another request has finished. */
private const val EXCESS_REQUEST_COST: Double = 2.0

/** Cost of exceeding the memory: the engine preempts the newest request and prefills it again. */
private const val MEMORY_SHORT_COST: Double = 3.0

/** Probability that an engine fails during the prefill of its part. */
private const val ENGINE_FAILURE_RISK: Double = 0.002

/**
 * Cost of an engine of another data centre, in expected requests that miss their targets. It is exposed to cuts between
 * data centres, and an idle one is not worth it while home engines meet the targets.
 */
private const val OVERFLOW_COST: Double = 0.05

/**
 * Cost of a long prompt on an engine for short streams, beside the stalls of those that are there already: the streams
 * that come next have one engine less.
 */
private const val LONG_ON_STREAM_ENGINE_COST: Double = 0.4

/** Cost of a short stream on an engine for long prompts: the probability that one of these stalls it. */
private const val STREAM_ON_LONG_ENGINE_COST: Double = 0.5

/** Passes between the end of the prefill and the first token. */
private const val FIRST_TOKEN_PASSES: Double = 1.0

/** Part of an engine's memory that one request may use without a reservation. */
private const val MEMORY_FRACTION: Double = 0.9
private const val RISK_START_RATIO: Double = 0.6
private const val RISK_FULL_RATIO: Double = 1.1
private const val RISK_EXCESS_SLOPE: Double = 0.2
