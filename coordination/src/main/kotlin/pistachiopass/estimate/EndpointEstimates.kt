/**
 * Estimates the speed and the useful concurrency of endpoints from the times of their answers.
 *
 * A speed factor is the ratio of observed to expected time, relative to the median of the endpoints of a group, so that
 * an error that is common to all expected times cancels out. Without enough samples of a group, published expected
 * times are taken as they are. The factor is shrunk towards 1 while samples are few, and samples decay within seconds.
 */
package pistachiopass.estimate

import pistachiopass.model.EndpointIncarnation
import kotlin.math.exp
import kotlin.math.sqrt

/** Endpoints that are compared with each other; [isSpeedPublished] if their expected times follow published speeds. */
public data class EndpointGroup(val name: String, val isSpeedPublished: Boolean)

/** The time that one answer took, with [concurrency] requests at the endpoint, this one included, of its [slots]. */
public class SpeedSample(
    /** Expected time, including the delay that the known load of the endpoint explains. */
    public val expectedMillis: Double,
    public val observedMillis: Double,
    public val concurrency: Int,
    public val slots: Int,
)

/** Present estimate of one endpoint; [factor] is above 1 for one that is slower than its group. */
public class SpeedEstimate(
    public val endpoint: EndpointIncarnation,
    public val factor: Double,
    /** Standard deviation of [factor]. */
    public val deviation: Double,
    /** Decayed number of samples. */
    public val samples: Double,
)

/** Holds the estimates of endpoints. Time is passed in; confined to one thread. */
public class EndpointEstimates(
    private val nowMillis: () -> Long,
    internal val settings: EstimateSettings = EstimateSettings(),
) {
    private val table = EstimateTable(settings)

    internal val all: Collection<EndpointEstimate> get() = table.all

    /**
     * Records [sample] of a complete and successful answer. Returns false, and changes nothing, if more requests were
     * at the endpoint than it has slots, since they wait then, or if a value is out of range.
     */
    public fun record(endpoint: EndpointIncarnation, group: EndpointGroup, sample: SpeedSample): Boolean {
        val isInRange = sample.expectedMillis > 0 && sample.expectedMillis <= MILLIS_MAX &&
            sample.observedMillis >= 0 && sample.observedMillis <= MILLIS_MAX
        if (!isInRange || sample.concurrency !in 1..sample.slots) return false
        val now = nowMillis()
        val estimate = table.getOrAdd(endpoint, group, now)
        val level = levelOf(sample.concurrency, sample.slots)
        for (sums in listOf(estimate.sums, estimate.unsent)) {
            sums.decayTo(now)
            sums.add(level, 1.0, sample.expectedMillis, settings.boundedMillis(sample))
        }
        estimate.hasUnsent = true
        return true
    }

    /**
     * Takes back [sample] that was recorded [ageMillis] ago, since its response did not end with success. What was sent
     * to other instances by now decays there.
     */
    public fun withdraw(endpoint: EndpointIncarnation, sample: SpeedSample, ageMillis: Long) {
        val estimate = table[endpoint] ?: return
        val weight = exp(-ageMillis / settings.decayMillis)
        for (sums in listOf(estimate.sums, estimate.unsent)) {
            sums.decayTo(nowMillis())
            val level = levelOf(sample.concurrency, sample.slots)
            sums.subtract(level, weight, weight * sample.expectedMillis, weight * settings.boundedMillis(sample))
        }
    }

    /** Returns the factor by which [endpoint] is slower than its group; 1 without samples. */
    public fun factorOf(endpoint: EndpointIncarnation): Double = table[endpoint]?.let(::factorOf) ?: 1.0

    /** Returns the estimate of [endpoint]; factor 1 without samples. */
    public fun estimateOf(endpoint: EndpointIncarnation): SpeedEstimate {
        val estimate = table[endpoint]
        val factor = estimate?.let(::factorOf) ?: 1.0
        val count = estimate?.sums?.count?.takeIf { it >= NEGLIGIBLE_SAMPLES } ?: 0.0
        val deviation = factor * settings.sampleDeviation / sqrt(count + settings.priorSamples)
        return SpeedEstimate(endpoint, factor, deviation, count)
    }

    /**
     * Returns the factor of [endpoint] while it has [concurrency] requests of [slots]: that of the samples at this
     * concurrency, shrunk towards the factor over all of its samples.
     */
    public fun factorAt(endpoint: EndpointIncarnation, concurrency: Int, slots: Int): Double {
        val overall = factorOf(endpoint)
        val estimate = table[endpoint]
        val level = levelOf(concurrency, maxOf(1, slots))
        val ratio = estimate?.ratioOrNull(level) ?: return overall
        return settings.shrunk(ratio / table.medianFor(estimate, nowMillis()), estimate.sums.count(level), overall)
    }

    /** Returns the highest useful concurrency of [endpoint], from 1 to [slots]; [slots] without samples. */
    public fun limitOf(endpoint: EndpointIncarnation, slots: Int): Int =
        table[endpoint]?.limitAt(nowMillis(), slots) ?: maxOf(1, slots)

    /** Removes endpoints that [isKnown] rejects. */
    public fun trim(isKnown: (EndpointIncarnation) -> Boolean): Unit = table.trim(isKnown)

    /** Adds samples of another instance; [deltas] have been checked. */
    internal fun receive(endpoint: EndpointIncarnation, group: EndpointGroup, deltas: List<LevelDelta>) {
        val now = nowMillis()
        val estimate = table.getOrAdd(endpoint, group, now)
        estimate.sums.decayTo(now)
        deltas.forEach {
            estimate.sums.add(
                it.level,
                it.count.toDouble(),
                it.expectedMillis.toDouble(),
                it.observedMillis.toDouble(),
            )
        }
    }

    private fun factorOf(estimate: EndpointEstimate): Double {
        val now = nowMillis()
        val ratio = estimate.ratioOrNull(now) ?: return 1.0
        return settings.shrunk(ratio / table.medianFor(estimate, now), estimate.sums.count, towards = 1.0)
    }
}

private fun EstimateSettings.boundedMillis(sample: SpeedSample): Double =
    sample.observedMillis.coerceIn(sample.expectedMillis * ratioMin, sample.expectedMillis * ratioMax)

private fun EstimateSettings.shrunk(ratio: Double, count: Double, towards: Double): Double =
    ((ratio * count + towards * priorSamples) / (count + priorSamples)).coerceIn(factorMin, factorMax)

/** Longest time that is taken for that of an answer: ten minutes, more than any timeout of a route. */
internal const val MILLIS_MAX: Double = 600_000.0
