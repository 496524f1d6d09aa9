/** The samples and the concurrency limit of one endpoint incarnation. */
package pistachiopass.estimate

import pistachiopass.model.EndpointIncarnation
import kotlin.math.roundToInt

/** The ratio that counts as factor 1 in a group of endpoints. */
internal class GroupMedian {
    var value: Double = 1.0
    var validUntilMillis: Long = Long.MIN_VALUE
}

/** State of one endpoint; [unsent] holds the own samples since the last message. */
internal class EndpointEstimate(
    val endpoint: EndpointIncarnation,
    val group: EndpointGroup,
    val median: GroupMedian,
    private val settings: EstimateSettings,
    nowMillis: Long,
) {
    val sums = SampleSums(nowMillis, settings.decayMillis)
    val unsent = SampleSums(nowMillis, settings.decayMillis)
    var hasUnsent = false
    var sentMillis: Long = nowMillis - settings.messageMillis
    var isReported = false
    private var limitFraction = 1.0
    private var limitMillis = nowMillis

    /** Returns observed over expected time of all samples, or null without samples that matter. */
    fun ratioOrNull(nowMillis: Long): Double? {
        sums.decayTo(nowMillis)
        return if (sums.count >= NEGLIGIBLE_SAMPLES) sums.ratio else null
    }

    /** Returns observed over expected time of the samples at [level], or null without samples that matter. */
    fun ratioOrNull(level: Int): Double? =
        if (sums.count(level) >= NEGLIGIBLE_SAMPLES) sums.ratio(level) else null

    /** Returns the concurrency limit for [slots], from 1 to [slots]. */
    fun limitAt(nowMillis: Long, slots: Int): Int {
        sums.decayTo(nowMillis)
        val elapsedMillis = maxOf(0, nowMillis - limitMillis)
        limitMillis = nowMillis
        val risen = minOf(1.0, limitFraction + settings.limitRisePerSecond * elapsedMillis / MILLIS_PER_SECOND)
        limitFraction = kneeFractionOrNull()?.let { minOf(it, risen) } ?: risen
        return (limitFraction * slots).roundToInt().coerceIn(1, maxOf(1, slots))
    }

    /** Returns the part of the slots above which the samples show no gain of throughput, or null if they show none. */
    private fun kneeFractionOrNull(): Double? {
        var bestLevel = -1
        var bestThroughput = 0.0
        var lastLevel = -1
        for (level in 0 until LEVELS) {
            if (sums.count(level) < settings.levelSamplesMin) continue
            val throughput = (level + 1) / sums.ratio(level)
            if (throughput > bestThroughput * (1 + settings.throughputGainMin)) {
                bestThroughput = throughput
                bestLevel = level
            }
            lastLevel = level
        }
        return if (bestLevel in 0 until lastLevel) (bestLevel + 1.0) / LEVELS else null
    }
}

/** Sum of decayed samples below which an endpoint counts as without samples. */
internal const val NEGLIGIBLE_SAMPLES: Double = 0.05
private const val MILLIS_PER_SECOND: Double = 1_000.0
