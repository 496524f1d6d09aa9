/**
 * Judges endpoints by the outcomes of requests to them.
 *
 * A failure adds to a score that decays; while the score is above a limit the endpoint is passed over where another can
 * serve. Passing over is a preference and never empties a service, so a wrong judgement costs little, and real requests
 * find out when the endpoint serves again.
 */
package pistachiopass.gateway.placement

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.model.Incarnation
import kotlin.math.exp

/** Keeps the scores of endpoints. All calls come from the event loop. */
public class EndpointHealth internal constructor(private val nowMillis: () -> Long, private val log: EventLog) {
    private class Score(var value: Double, var atMillis: Long)

    private val scores = HashMap<Incarnation, Score>()

    /** Returns the decayed score of [endpoint]; 0 if nothing speaks against it. */
    public fun failureScore(endpoint: Incarnation): Double = scores[endpoint]?.let(::decayed) ?: 0.0

    /** Is true if [endpoint] is passed over while others can serve. */
    public fun isSuspected(endpoint: Incarnation): Boolean = failureScore(endpoint) >= SUSPECTED_SCORE

    /** Records an answer that came in full. */
    public fun onSuccess(endpoint: Incarnation) {
        val score = scores[endpoint] ?: return
        score.value = decayed(score) * SUCCESS_FACTOR
        score.atMillis = nowMillis()
        if (score.value < NEGLIGIBLE_SCORE) scores.remove(endpoint)
    }

    /** Records a failure of [weight], 1 for one that alone arouses suspicion. */
    public fun onFailure(endpoint: Incarnation, weight: Double) {
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

    /** Forgets endpoints that [isKnown] rejects. */
    public fun trim(isKnown: (Incarnation) -> Boolean) {
        scores.keys.removeIf { !isKnown(it) }
    }

    private fun decayed(score: Score): Double = score.value * exp(-(nowMillis() - score.atMillis) / DECAY_MILLIS)
}

/** Score from which on an endpoint is passed over. */
private const val SUSPECTED_SCORE: Double = 0.9
private const val SCORE_MAX: Double = 4.0
private const val SUCCESS_FACTOR: Double = 0.5
private const val NEGLIGIBLE_SCORE: Double = 0.01

/** Time in which a score falls to a third; short against the time that a replaced endpoint takes to be listed. */
private const val DECAY_MILLIS: Double = 2_500.0
private const val PERCENT: Int = 100
