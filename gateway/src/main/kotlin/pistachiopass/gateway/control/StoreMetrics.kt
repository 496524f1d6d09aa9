/** Metrics of the platform's store as the instance knows it; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.status.StoreStatus

/** Reads [store] at each scrape; without it, the gauges are 0. */
internal class StoreMetrics(private val store: () -> StoreStatus?) {
    private val registry by lazy(LazyThreadSafetyMode.NONE) {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { registry ->
            Gauge.builder("pistachiopass_store_era") { store()?.era ?: 0 }
                .description("Era of the store; it rises each time that the store returns from an older copy.")
                .register(registry)
            Gauge.builder("pistachiopass_held_items") { store()?.heldItems ?: 0 }
                .description("Items that are believed from an earlier era against what the store has.")
                .register(registry)
        }
    }

    /** Returns the metrics in Prometheus's text form. */
    fun scrape(): String = registry.scrape()
}
