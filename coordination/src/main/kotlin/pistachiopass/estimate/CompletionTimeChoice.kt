/**
 * Chooses the endpoint with the shortest expected completion time.
 *
 * The time at an endpoint includes the queueing that the requests of other instances cause, since these are not known
 * one by one. The expected time of each endpoint is drawn from the range of its uncertainty (Thompson sampling). So
 * endpoints that cannot be told apart get requests at random and many instances do not choose the same one. An
 * endpoint that looks slow gets fewer requests, its samples decay, its uncertainty grows, and it is tried again within
 * seconds.
 */
package pistachiopass.estimate

import pistachiopass.model.EndpointIncarnation
import kotlin.math.hypot
import kotlin.random.Random

/** An endpoint that may get a request, with the [requests] that this instance knows to be there. */
public class ChoiceCandidate(
    public val endpoint: EndpointIncarnation,
    public val slots: Int,
    public val requests: Int,
    /** Added to the cost of the endpoint; 0 if no recent failures are known. */
    public val failureScore: Double,
)

/** Chooses by [estimates]. Confined to one thread. */
public class CompletionTimeChoice(private val estimates: EndpointEstimates, private val random: Random) {
    /** Returns the index of the best of [candidates], or null if there are no samples of any of them. */
    public fun bestOrNull(candidates: List<ChoiceCandidate>): Int? {
        if (candidates.none { estimates.estimateOf(it.endpoint).samples > 0 }) return null
        return candidates.indices.shuffled(random).minBy { costOf(candidates[it]) }
    }

    /** Returns the completion time relative to the usual one of the group, with the cost of failures. */
    private fun costOf(candidate: ChoiceCandidate): Double {
        val slots = maxOf(1, candidate.slots)
        val factor = estimates.factorAt(candidate.endpoint, candidate.requests + 1, slots)
        val deviation = hypot(estimates.estimateOf(candidate.endpoint).deviation, SHARED_VIEW_DEVIATION * factor)
        val drawn = maxOf(FACTOR_DRAWN_MIN, factor + deviation * normal())
        val load = (candidate.requests + 1.0) / estimates.limitOf(candidate.endpoint, slots)
        return drawn * (maxOf(1.0, load) + REQUEST_WEIGHT * candidate.requests) + candidate.failureScore
    }

    /** Returns about a standard normal deviate: the sum of twelve uniform ones has variance 1. */
    private fun normal(): Double {
        var sum = 0.0
        repeat(UNIFORM_DEVIATES) { sum += random.nextDouble() }
        return sum - UNIFORM_DEVIATES / 2
    }
}

/** Lowest drawn factor; keeps the cost positive. */
private const val FACTOR_DRAWN_MIN: Double = 0.05

/**
 * Deviation of a drawn factor, relative to it, in addition to that of the estimate: instances share their samples, so
 * without it all of them would turn to the same endpoint at once. With 0.15 a burst at 410 instances took twice as
 * long.
 */
private const val SHARED_VIEW_DEVIATION: Double = 0.25

/** Cost of each own request there, relative to the expected time: others are likely to have as many there. */
private const val REQUEST_WEIGHT: Double = 0.3
private const val UNIFORM_DEVIATES: Int = 12
