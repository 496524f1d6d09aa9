/**
 * Prediction of the time to the first token, learnt from the requests that an endpoint has served.
 *
 * The model is linear: a constant, a time per token of the prompt and a time per token that waits ahead in the queue.
 * Coefficients are those of a least-squares fit in which older samples count exponentially less and the defaults
 * count like a few samples of their own. To the fitted value comes the part by which samples exceeded it on average.
 */
package pistachiopass.queue

import kotlin.math.roundToLong

/** Predicts the time from arrival to the first token. */
public fun interface FirstTokenForecast {
    /** Returns the predicted time, in milliseconds, for a prompt that arrives with [tokensAhead] waiting before it. */
    public fun firstTokenMillis(promptTokens: Long, tokensAhead: Long): Long

    /** Takes note that a request with [tokensAhead] waiting before it was refused by the prediction. */
    public fun onRefused(tokensAhead: Long): Unit = Unit
}

/** Holds what was observed of one request: [tokensAhead] at its arrival and the time to its first token. */
public data class FirstTokenSample(
    val promptTokens: Long,
    val tokensAhead: Long,
    val firstTokenMillis: Long,
    /** Whether the endpoint was in a cold start; such a sample is not learnt from. */
    val isCold: Boolean = false,
    /** Whether the request was given up after [firstTokenMillis], so that its true time is longer. */
    val isAbandoned: Boolean = false,
)

/** Holds the times that are assumed until an endpoint has served enough requests. */
public data class FirstTokenDefaults(
    val constantMillis: Double = 100.0,
    val millisPerPromptToken: Double = 0.1,
    val millisPerTokenAhead: Double = 0.1,
)

/** Returns a predictor that has learnt nothing yet. */
public fun firstTokenPredictorOf(defaults: FirstTokenDefaults = FirstTokenDefaults()): FirstTokenPredictor =
    FirstTokenPredictor(defaults)

/** Learns the slopes of one endpoint; callers guard it against concurrent use. */
public class FirstTokenPredictor internal constructor(defaults: FirstTokenDefaults) : FirstTokenForecast {
    private val fit: WeightedLeastSquares = WeightedLeastSquares(
        prior = doubleArrayOf(
            defaults.constantMillis,
            defaults.millisPerPromptToken * TOKENS_PER_UNIT,
            defaults.millisPerTokenAhead * TOKENS_PER_UNIT,
        ),
        priorWeight = PRIOR_WEIGHT,
        decayFactor = DECAY_FACTOR,
    )
    private var samples: Int = 0
    private var refusalsInARow: Int = 0
    private var overshoot: Double = 0.0

    /**
     * Whether enough requests were served for the prediction to rest on them.
     *
     * It no longer does once as many requests in a row were refused with nothing ahead of them.
     */
    public val isTrained: Boolean get() = samples >= MIN_SAMPLES && refusalsInARow < MIN_SAMPLES

    /**
     * Returns the prediction; while nothing is learnt, one of zero for a request with nothing ahead of it, since
     * refusing that one would keep the endpoint from ever being learnt.
     */
    override fun firstTokenMillis(promptTokens: Long, tokensAhead: Long): Long =
        if (!isTrained && tokensAhead == 0L) 0 else withMargin(promptTokens, tokensAhead)

    override fun onRefused(tokensAhead: Long) {
        if (tokensAhead == 0L) refusalsInARow++
    }

    /** Takes in a sample; one far off the prediction counts as if it were off by a factor of [OUTLIER_FACTOR]. */
    public fun addSample(sample: FirstTokenSample) {
        val predicted = fitted(sample.promptTokens, sample.tokensAhead)
        val observed = sample.firstTokenMillis.toDouble()
        if (sample.isCold || sample.isAbandoned && observed < predicted) return
        val bounded = if (isTrained) {
            observed.coerceIn(predicted / OUTLIER_FACTOR, predicted * OUTLIER_FACTOR)
        } else {
            observed
        }
        val features = featuresOf(sample.promptTokens, sample.tokensAhead)
        overshoot = overshoot * DECAY_FACTOR + (1 - DECAY_FACTOR) * maxOf(0.0, bounded / predicted - 1)
        fit.add(features, bounded, weight = 1 / features.sum())
        samples++
        refusalsInARow = 0
    }

    private fun withMargin(promptTokens: Long, tokensAhead: Long): Long =
        (fitted(promptTokens, tokensAhead) * (1 + overshoot)).roundToLong()

    private fun fitted(promptTokens: Long, tokensAhead: Long): Double =
        maxOf(1.0, fit.valueAt(featuresOf(promptTokens, tokensAhead)))

    private fun featuresOf(promptTokens: Long, tokensAhead: Long): DoubleArray =
        doubleArrayOf(1.0, promptTokens / TOKENS_PER_UNIT, tokensAhead / TOKENS_PER_UNIT)
}

private const val TOKENS_PER_UNIT: Double = 1_000.0
private const val PRIOR_WEIGHT: Double = 0.05
private const val DECAY_FACTOR: Double = 0.98
private const val MIN_SAMPLES: Int = 8
private const val OUTLIER_FACTOR: Double = 4.0
