/** Metrics of what could not be read of the published state and of the settings; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.model.UnreadPart

/** Reads [parts] at each scrape. */
internal class UnreadMetrics(private val parts: () -> List<UnreadPart>) {
    private val registry by lazy(LazyThreadSafetyMode.NONE) {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { registry ->
            Gauge.builder("pistachiopass_unread_parts") { parts().size }
                .description("Parts of the published state and of the settings that could not be read.")
                .register(registry)
        }
    }
    private val named by lazy(LazyThreadSafetyMode.NONE) {
        MultiGauge.builder("pistachiopass_unread_part")
            .description("1 for a part of the published state or of the settings that could not be read.")
            .register(registry)
    }

    /** Returns the metrics in Prometheus's text form, with the names of the first parts. */
    fun scrape(): String {
        val rows = parts().distinct().take(NAMED_PARTS_MAX)
            .map { MultiGauge.Row.of(Tags.of("part", it.path, "problem", it.problem), 1) }
        named.register(rows, true)
        return registry.scrape()
    }
}

/** Bounds the number of time series. */
private const val NAMED_PARTS_MAX: Int = 50
