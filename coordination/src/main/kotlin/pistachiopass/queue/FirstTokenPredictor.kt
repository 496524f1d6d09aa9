/**
 * Prediction of the time to first token from the requests that an endpoint has served.
 *
 * The model is linear: a constant, a time per token of the prompt, and a time per token that waits ahead in the queue.
 * The coefficients come from a least-squares fit in which the weight of samples decays exponentially and the defaults
 * serve as a prior with the weight of a few samples. The prediction adds the average relative excess of the samples
 * over the fitted value.
 */
package pistachiopass.queue

import kotlin.math.roundToLong

/** Predicts the time from the arrival of a request to its first token. */
public fun interface FirstTokenForecast {
    /**
     * Returns the predicted time, in milliseconds, for a prompt of [promptTokens] tokens that arrives with
     * [tokensAhead] tokens queued before it.
     */
    public fun firstTokenMillis(promptTokens: Long, tokensAhead: Long): Long

    /** Called after the prediction led to the refusal of a request with [tokensAhead] tokens queued before it. */
    public fun onRefused(tokensAhead: Long): Unit = Unit
}

/** Observation of one request: the tokens queued before it at its arrival, and the time to its first token. */
public data class FirstTokenSample(
    val promptTokens: Long,
    val tokensAhead: Long,
    val firstTokenMillis: Long,
    /** Whether the endpoint was in a cold start; such a sample is ignored. */
    val isCold: Boolean = false,
    /** Whether the request was abandoned after [firstTokenMillis] without a token, so its true time is longer. */
    val isAbandoned: Boolean = false,
)

/** Coefficients that are assumed until an endpoint has served enough requests. */
public data class FirstTokenDefaults(
    val constantMillis: Double = 100.0,
    val millisPerPromptToken: Double = 0.1,
    val millisPerTokenAhead: Double = 0.1,
)

/** Returns a predictor without samples. */
public fun firstTokenPredictorOf(defaults: FirstTokenDefaults = FirstTokenDefaults()): FirstTokenPredictor =
    FirstTokenPredictor(defaults)

/** Fits the coefficients of one endpoint; not thread-safe. */
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
    private var consecutiveRefusals: Int = 0
    private var meanExcess: Double = 0.0

    /**
     * Whether enough samples were added to predict from them.
     *
     * Becomes false again once as many consecutive requests were refused although none was queued before them.
     */
    public val isTrained: Boolean get() = samples >= MIN_SAMPLES && consecutiveRefusals < MIN_SAMPLES

    /**
     * Returns the prediction, in milliseconds.
     *
     * Until the predictor is trained, it is zero for a request with none queued before it: if that request were
     * refused, there would never be a sample.
     */
    override fun firstTokenMillis(promptTokens: Long, tokensAhead: Long): Long =
        if (!isTrained && tokensAhead == 0L) 0 else withMargin(promptTokens, tokensAhead)

    override fun onRefused(tokensAhead: Long) {
        if (tokensAhead == 0L) consecutiveRefusals++
    }

    /**
     * Adds a sample; once trained, one that differs from the prediction by more than a factor of [OUTLIER_FACTOR] is
     * limited to that factor.
     */
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
        meanExcess = meanExcess * DECAY_FACTOR + (1 - DECAY_FACTOR) * maxOf(0.0, bounded / predicted - 1)
        fit.add(features, bounded, weight = 1 / features.sum())
        samples++
        consecutiveRefusals = 0
    }

    private fun withMargin(promptTokens: Long, tokensAhead: Long): Long =
        (fitted(promptTokens, tokensAhead) * (1 + meanExcess)).roundToLong()

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
