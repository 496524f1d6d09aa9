/** Creation and lookup of the meters of the [Metric] catalogue in a Micrometer registry. */
package pistachiopass.entry.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.config.MeterFilter
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig

/** Returns the counter of [metric] with [labels] in the order of the catalogue. */
internal fun MeterRegistry.counter(metric: Metric, labels: List<String>): Counter =
    Counter.builder(metric.text).description(metric.meaning).tags(tagsOf(metric, labels)).register(this)

/** Returns the timer of [metric] with [labels] in the order of the catalogue. */
internal fun MeterRegistry.timer(metric: Metric, labels: List<String>): Timer =
    Timer.builder(metric.text).description(metric.meaning).tags(tagsOf(metric, labels)).register(this)

/** Registers a gauge for [metric] that reads [value] at each scrape. */
internal fun MeterRegistry.gauge(metric: Metric, labels: List<String>, value: () -> Double): Gauge =
    Gauge.builder(metric.text) { value() }
        .description(metric.meaning)
        .tags(tagsOf(metric, labels))
        .strongReference(true)
        .register(this)

private fun tagsOf(metric: Metric, labels: List<String>): List<Tag> {
    require(labels.size == metric.labels.size) { "${metric.text} takes ${metric.labels}, not $labels" }
    return metric.labels.zip(labels) { key, value -> Tag.of(key, value) }
}

/** Sets the same histogram buckets for all timers; one of them is the target for the time to first token. */
internal class TimerBuckets : MeterFilter {
    override fun configure(id: Meter.Id, config: DistributionStatisticConfig): DistributionStatisticConfig =
        if (id.type == Meter.Type.TIMER) BUCKETS.merge(config) else config

    private companion object {
        const val MILLIS: Double = 1e6

        val BUCKETS: DistributionStatisticConfig =
            DistributionStatisticConfig.builder()
                .serviceLevelObjectives(
                    50 * MILLIS,
                    100 * MILLIS,
                    200 * MILLIS,
                    500 * MILLIS,
                    1_100 * MILLIS,
                    2_000 * MILLIS,
                    5_000 * MILLIS,
                    10_000 * MILLIS,
                    30_000 * MILLIS,
                    60_000 * MILLIS,
                    120_000 * MILLIS,
                )
                .build()
    }
}
