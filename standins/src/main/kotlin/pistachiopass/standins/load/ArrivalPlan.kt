/** Plans the arrivals of an open loop: the times do not depend on how fast answers come. */
package pistachiopass.standins.load

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** Returns the arrivals of [scenario] in the order of their times; equal scenarios give equal plans. */
public fun arrivalsOf(scenario: Scenario): List<Arrival> {
    require(scenario.requestsPerSecond > 0) { "requestsPerSecond must be positive: ${scenario.requestsPerSecond}" }
    val random = Random(scenario.seed)
    val arrivals = mutableListOf<Arrival>()
    var atMillis = random.nextGapMillis(scenario)
    while (atMillis < scenario.durationMillis) {
        val workspace = "workspace-${random.nextWorkspace(scenario.workspaceWeights)}"
        val booking = random.nextDouble() < scenario.bookingShare
        val tokens = if (booking) 0 else random.nextPromptTokens(scenario.maxPromptTokens)
        arrivals += Arrival(arrivals.size, atMillis, workspace, tokens)
        atMillis += random.nextGapMillis(scenario)
    }
    return arrivals
}

private fun Random.nextGapMillis(scenario: Scenario): Double =
    -ln(1 - nextDouble()) * MILLIS_PER_SECOND / scenario.requestsPerSecond

private fun Random.nextWorkspace(weights: List<Double>): Int {
    var rest = nextDouble() * weights.sum()
    return weights.indexOfFirst { weight ->
        rest -= weight
        rest < 0
    }.coerceAtLeast(0)
}

/** Returns a log-uniform length; one in fifty is over 100,000 tokens where the maximum allows it. */
private fun Random.nextPromptTokens(maxTokens: Int): Int {
    val huge = nextInt(HUGE_PROMPT_PERIOD) == 0 && maxTokens > PromptBand.HUGE.minTokens
    return if (huge) {
        nextLogUniform(PromptBand.HUGE.minTokens + 1, maxTokens)
    } else {
        nextLogUniform(PromptBand.SHORT.minTokens, minOf(maxTokens, PromptBand.LONG.endTokens - 1))
    }
}

private fun Random.nextLogUniform(min: Int, max: Int): Int =
    (min * (max.toDouble() / min).pow(nextDouble())).toInt().coerceIn(min, max)

private const val MILLIS_PER_SECOND: Double = 1000.0
private const val HUGE_PROMPT_PERIOD: Int = 50
