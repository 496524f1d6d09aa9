/**
 * Chooses the engines for a prompt that one engine cannot hold: equal amounts of memory are reserved on several
 * engines, each of which prefills an equal part.
 *
 * More engines make each part shorter, which helps the target latency and the streams of each engine; each engine may
 * fail or refuse, which speaks for fewer. Of all possible numbers the one with the least cost is chosen. Engines known
 * to lack the memory are left out, also if too few others remain: the reservations that some of them grant would be
 * wasted. Engines with memory to spare are preferred, since requests may run longer than forecast.
 */
package pistachiopass.gateway.placement

import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.TokenCounts
import kotlin.math.ceil

/** The costs of engines for one prompt, in expected requests that miss their targets. */
internal class EngineCosts(
    /** Returns the cost of one engine for a part whose prefill takes the given milliseconds. */
    val marginal: (EngineView, Double) -> Double,
    /** Returns the cost of a prefill in equal parts on the given engines. */
    val total: (List<EngineView>) -> Double,
)

/** The [engines] at each of which [tokens] are reserved, the one that decodes first, and [spares] in order. */
internal class ReservedChoice(val engines: List<EngineView>, val spares: List<EngineView>, val tokens: Long)

/** Finds the cheapest engines with memory for one prompt; [costs] are those of its placement. */
internal class ReservedPlacement(
    private val engine: EngineSpeeds,
    tokenCounts: TokenCounts,
    private val views: List<EngineView>,
    private val costs: EngineCosts,
) {
    private val contextTokens = tokenCounts.promptTokens + tokenCounts.answerTokens
    private val prefillMillis = engine.prefillMillis(tokenCounts.promptTokens)

    /** Returns the best choice, or null if too few engines have the memory as far as known. */
    fun chooseOrNull(): ReservedChoice? {
        val countMin = maxOf(2, ceil(contextTokens / (engine.memoryTokens * RESERVED_FRACTION)).toInt())
        val counts = countMin..minOf(RESERVED_ENGINES_MAX, views.size)
        return bestOrNull(counts, (engine.memoryTokens * MARGIN_FRACTION).toLong()) ?: bestOrNull(counts, 0)
    }

    private fun bestOrNull(counts: IntRange, marginTokens: Long): ReservedChoice? =
        counts.mapNotNull { choiceOrNull(it, marginTokens) }.minByOrNull { costs.total(it.engines) }

    private fun choiceOrNull(count: Int, marginTokens: Long): ReservedChoice? {
        val tokens = tokensOf(count)
        val (likely, others) = views.filter { it.freeTokens() >= tokens }
            .partition { it.freeTokens() >= tokens + marginTokens }
        if (likely.size < count) return null
        val ranked = rankedOf(likely, count) + rankedOf(others, count)
        return ReservedChoice(ranked.take(count), ranked.drop(count), tokens)
    }

    private fun rankedOf(engines: List<EngineView>, count: Int): List<EngineView> =
        engines.map { it to costs.marginal(it, prefillMillis / count) }.sortedBy { it.second }.map { it.first }

    private fun tokensOf(count: Int): Long = ceil(contextTokens.toDouble() / count).toLong()
}

/** Part of an engine's memory that one reservation may use. */
private const val RESERVED_FRACTION: Double = 0.5

/** Part of an engine's memory that should be free beyond the reservation; about the context of a medium prompt. */
private const val MARGIN_FRACTION: Double = 0.2

/** The request names each of its engines with its reservation, and the protocol allows 16 names. */
private const val RESERVED_ENGINES_MAX: Int = 16
