/** Metrics of what the instance sends to others; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.gateway.peers.DatagramKind
import pistachiopass.gateway.peers.KindTraffic
import pistachiopass.gateway.peers.PeerTraffic
import pistachiopass.gateway.peers.label

/** Reads [traffic] at each scrape. */
internal class PeerMetrics(private val traffic: PeerTraffic) {
    private val registry by lazy(LazyThreadSafetyMode.NONE) {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { registry ->
            registry.count("pistachiopass_peer_sent_messages", "Datagrams sent to other instances.") { it.messages }
            registry.count("pistachiopass_peer_sent_bytes", "Bytes sent in datagrams, with UDP and IP.") { it.bytes }
            registry.count("pistachiopass_peer_dropped_messages", "Datagrams above the limit.") { it.dropped }
        }
    }

    /** Returns the metrics in Prometheus's text form. */
    fun scrape(): String = registry.scrape()

    private fun PrometheusMeterRegistry.count(name: String, description: String, value: (KindTraffic) -> Long) {
        DatagramKind.entries.forEach { kind ->
            FunctionCounter.builder(name, traffic.of(kind)) { value(it).toDouble() }
                .description(description)
                .tag("kind", kind.label)
                .register(this)
        }
    }
}
