/**
 * Catalogue of the daemon's own metrics.
 *
 * docs/METRICS.md lists the same metrics; a test compares both with a scrape.
 */
package pistachiopass.entry.metrics

import io.micrometer.core.instrument.Meter

/** Metric of the daemon; [text] is its Prometheus name without the suffixes that the type adds. */
public enum class Metric(
    public val text: String,
    public val type: Meter.Type,
    public val labels: List<String>,
    public val meaning: String,
) {
    REQUESTS(
        "pistachiopass_request_duration_seconds",
        Meter.Type.TIMER,
        listOf("route", "outcome"),
        "Time from the arrival of a request to the end of its response.",
    ),
    FIRST_TOKEN(
        "pistachiopass_first_token_seconds",
        Meter.Type.TIMER,
        listOf("prompt"),
        "Time from the arrival of a request to the first token or byte of its response, by prompt length.",
    ),
    RETRIES(
        "pistachiopass_retries_total",
        Meter.Type.COUNTER,
        listOf("route"),
        "Requests that were sent again after an attempt failed.",
    ),
    STREAM_BYTES(
        "pistachiopass_stream_held_bytes",
        Meter.Type.GAUGE,
        emptyList(),
        "Bytes that stream buffers hold for callers.",
    ),
    TABLE_VERSION(
        "pistachiopass_table_version",
        Meter.Type.GAUGE,
        listOf("table"),
        "Version of the table in force.",
    ),
    TABLE_AGE(
        "pistachiopass_table_age_seconds",
        Meter.Type.GAUGE,
        listOf("table"),
        "Time since the platform last confirmed that the table is current.",
    ),
    PLATFORM_CALLS(
        "pistachiopass_platform_calls_total",
        Meter.Type.COUNTER,
        listOf("outcome"),
        "Calls to the platform, where a watch counts as one call however long it waits.",
    ),
    PEER_MESSAGES(
        "pistachiopass_peer_messages_total",
        Meter.Type.COUNTER,
        listOf("direction", "kind"),
        "Messages between instances.",
    ),
    PEER_EVENTS(
        "pistachiopass_peer_events_total",
        Meter.Type.COUNTER,
        listOf("event"),
        "Events on connections between instances, including refused connections and dropped messages.",
    ),
    LEASES(
        "pistachiopass_leases_total",
        Meter.Type.COUNTER,
        listOf("outcome"),
        "Decisions on leases of endpoint capacity.",
    ),
    BOOKINGS(
        "pistachiopass_bookings_total",
        Meter.Type.COUNTER,
        listOf("verdict"),
        "Bookings by the verdict that the caller received.",
    ),
}
