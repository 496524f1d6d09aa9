/** Metrics of the connections between instances. */
package pistachiopass.entry.metrics

import io.micrometer.core.instrument.MeterRegistry

/** Counts messages and events; safe for use by many threads. */
public class PeerMetrics internal constructor(private val registry: MeterRegistry) {
    /** Counts a message between instances; [kind] is one of the fixed names of message types. */
    public fun countMessage(direction: Direction, kind: String): Unit =
        registry.counter(Metric.PEER_MESSAGES, listOf(direction.name.lowercase(), kind)).increment()

    /** Counts an event on a connection between instances. */
    public fun countEvent(event: PeerEvent): Unit =
        registry.counter(Metric.PEER_EVENTS, listOf(event.name.lowercase())).increment()
}
