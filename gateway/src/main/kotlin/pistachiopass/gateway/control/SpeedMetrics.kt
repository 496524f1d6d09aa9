/** Metrics of the speeds of endpoints; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.estimate.EstimateReports
import pistachiopass.estimate.SpeedEstimate
import pistachiopass.gateway.model.EndpointIncarnation

/** Reads [reports] at each scrape; [limitOf] returns the concurrency limit of an endpoint. */
internal class SpeedMetrics(
    private val reports: EstimateReports,
    private val limitOf: (EndpointIncarnation) -> Int,
) {
    private val registry by lazy(LazyThreadSafetyMode.NONE) { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }
    private val factors by lazy(LazyThreadSafetyMode.NONE) {
        MultiGauge.builder("pistachiopass_endpoint_speed_factor")
            .description("Observed over expected time, 1 for the median of the service.")
            .register(registry)
    }
    private val limits by lazy(LazyThreadSafetyMode.NONE) {
        MultiGauge.builder("pistachiopass_endpoint_concurrency_limit")
            .description("Requests above which more at once gain nothing.")
            .register(registry)
    }

    /** Returns the metrics in Prometheus's text form, of as many endpoints as are reported at a time. */
    fun scrape(): String {
        val estimates = reports.mostUnusual()
        factors.register(rowsOf(estimates) { it.factor }, true)
        limits.register(rowsOf(estimates) { limitOf(it.endpoint).toDouble() }, true)
        return registry.scrape()
    }

    private fun rowsOf(
        estimates: List<SpeedEstimate>,
        value: (SpeedEstimate) -> Double,
    ): List<MultiGauge.Row<Number>> =
        estimates.map { MultiGauge.Row.of(Tags.of("endpoint", it.endpoint.endpoint.value), value(it)) }
}
