/** Metrics of the quarantine of prompt parts; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.quarantine.QuarantinedPart

/** Reads [quarantine] at each scrape; the registry is made for the first one, since many instances have none. */
internal class QuarantineMetrics(private val quarantine: PartQuarantine) {
    private val registry by lazy(LazyThreadSafetyMode.NONE) {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { registry ->
            Gauge.builder("pistachiopass_quarantined_parts") { quarantine.quarantined().size }
                .description("Prompt parts that are quarantined, or on trial after it.")
                .register(registry)
            FunctionCounter.builder("pistachiopass_quarantine_refused_total", quarantine) { it.refused.toDouble() }
                .description("Requests that were refused for a quarantined prompt part.")
                .register(registry)
        }
    }
    private val ages by lazy(LazyThreadSafetyMode.NONE) {
        MultiGauge.builder("pistachiopass_quarantine_age_seconds")
            .description("Time since the quarantine of a prompt part began.")
            .register(registry)
    }
    private val runs by lazy(LazyThreadSafetyMode.NONE) {
        MultiGauge.builder("pistachiopass_quarantine_ended_runs")
            .description("Runs of endpoints that ended on requests with a quarantined prompt part.")
            .register(registry)
    }

    /** Returns the metrics in Prometheus's text form. */
    fun scrape(): String {
        val parts = quarantine.quarantined()
        ages.register(rowsOf(parts) { it.ageMillis / MILLIS_PER_SECOND }, true)
        runs.register(rowsOf(parts) { it.runs.toDouble() }, true)
        return registry.scrape()
    }

    private fun rowsOf(parts: List<QuarantinedPart>, value: (QuarantinedPart) -> Double): List<MultiGauge.Row<Number>> =
        parts.map { MultiGauge.Row.of(Tags.of("part", it.part.value), value(it)) }
}

private const val MILLIS_PER_SECOND: Double = 1_000.0
