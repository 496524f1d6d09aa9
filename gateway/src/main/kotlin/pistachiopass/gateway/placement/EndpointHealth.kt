/**
 * Detects failing endpoints from the outcomes of requests (passive health checking).
 *
 * Each failure adds to a score that decays exponentially. While the score is above a threshold, the endpoint is used
 * only if no other endpoint can serve. This is a preference that never leaves a service without endpoints, so a false
 * detection costs little, and no probes are sent: regular requests show when the endpoint serves again.
 */
package pistachiopass.gateway.placement

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.model.EndpointIncarnation
import kotlin.math.exp

/** Holds the failure scores of all endpoints. Confined to the event loop. */
public class EndpointHealth internal constructor(private val nowMillis: () -> Long, private val log: EventLog) {
    private class Score(var value: Double, var atMillis: Long)

    private val scores = HashMap<EndpointIncarnation, Score>()

    /** Returns the failure score of [endpoint] after decay; 0 if no recent failures are known. */
    public fun failureScore(endpoint: EndpointIncarnation): Double = scores[endpoint]?.let(::decayed) ?: 0.0

    /** Is true if [endpoint] is to be used only if no other endpoint can serve. */
    public fun isSuspected(endpoint: EndpointIncarnation): Boolean = failureScore(endpoint) >= SUSPECTED_SCORE

    /** Records that [endpoint] sent a complete response without a server error. */
    public fun onSuccess(endpoint: EndpointIncarnation) {
        val score = scores[endpoint] ?: return
        score.value = decayed(score) * SUCCESS_FACTOR
        score.atMillis = nowMillis()
        if (score.value < NEGLIGIBLE_SCORE) scores.remove(endpoint)
    }

    /** Records a failure of [endpoint]; a [weight] of 1 makes it suspected at once. */
    public fun onFailure(endpoint: EndpointIncarnation, weight: Double) {
        val score = scores.getOrPut(endpoint) { Score(0.0, nowMillis()) }
        val before = decayed(score)
        score.value = minOf(before + weight, SCORE_MAX)
        score.atMillis = nowMillis()
        if (before < SUSPECTED_SCORE && score.value >= SUSPECTED_SCORE) {
            log.log(
                Event.ENDPOINT_SUSPECTED,
                field("endpoint", endpoint.endpoint),
                field("scorePercent", (score.value * PERCENT).toInt())
            )
        }
    }

    /** Removes the scores of endpoints that [isKnown] rejects. */
    public fun trim(isKnown: (EndpointIncarnation) -> Boolean) {
        scores.keys.removeIf { !isKnown(it) }
    }

    private fun decayed(score: Score): Double = score.value * exp(-(nowMillis() - score.atMillis) / DECAY_MILLIS)
}

/** Score at which an endpoint becomes suspected. */
private const val SUSPECTED_SCORE: Double = 0.9
private const val SCORE_MAX: Double = 4.0
private const val SUCCESS_FACTOR: Double = 0.5
private const val NEGLIGIBLE_SCORE: Double = 0.01

/** Time in which a score falls to about a third; much shorter than it takes to publish a replacement endpoint. */
private const val DECAY_MILLIS: Double = 2_500.0
private const val PERCENT: Int = 100
