/** Compares the catalogue of metrics with docs/METRICS.md and with a scrape. */
package pistachiopass.entry.metrics

import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.casesOf
import pistachiopass.entry.tableRows
import pistachiopass.model.RouteName
import pistachiopass.model.Verdict
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MetricsTest {
    private val metrics = metricsOf().apply {
        recordRequest(RouteName("drape"), RequestOutcome.ANSWERED, durationMillis = 90)
        recordFirstToken(promptTokens = 5_000, delayMillis = 1_000)
        countRetry(RouteName("drape"))
        addStreamBytes(700)
        addStreamBytes(-200)
        registerTable(Table.ROUTES, { 8 }, { 1_500 })
        countPlatformCall(PlatformOutcome.UNCHANGED)
        peers.countMessage(Direction.SENT, "heartbeat")
        peers.countEvent(PeerEvent.REFUSED)
        countLeaseDecision(LeaseOutcome.GRANTED)
        countBooking(Verdict.MAY_HAVE_RUN)
    }

    @Test
    fun `docs METRICS lists exactly the metrics of the code`() {
        val expected = Metric.entries.map {
            val labels = it.labels.joinToString(", ").ifEmpty { "none" }
            "| `${it.text}` | ${it.type.name.lowercase()} | $labels | ${it.meaning} |"
        }
        assertEquals(expected.joinToString("\n"), tableRows("docs/METRICS.md").joinToString("\n"))
    }

    @Test
    fun `a scrape holds exactly the metrics of the catalogue`() {
        val types = metrics.scrape().lines().filter { it.startsWith("# TYPE pistachiopass_") }
        val names = types.map { it.split(' ')[2] }.filterNot { it.endsWith("_max") }
        assertEquals(Metric.entries.map { it.text }.sorted(), names.sorted())
    }

    @TestFactory
    fun `a scrape holds what was recorded`() =
        casesOf(recordedLines) { assertTrue(it in metrics.scrape().lines(), metrics.scrape()) }

    private companion object {
        val recordedLines = listOf(
            "pistachiopass_request_duration_seconds_count{outcome=\"answered\",route=\"drape\"} 1",
            "pistachiopass_request_duration_seconds_bucket{outcome=\"answered\",route=\"drape\",le=\"0.05\"} 0",
            "pistachiopass_request_duration_seconds_bucket{outcome=\"answered\",route=\"drape\",le=\"0.1\"} 1",
            "pistachiopass_first_token_seconds_bucket{prompt=\"to-20k\",le=\"1.1\"} 1",
            "pistachiopass_retries_total{route=\"drape\"} 1.0",
            "pistachiopass_stream_held_bytes 500.0",
            "pistachiopass_table_version{table=\"routes\"} 8.0",
            "pistachiopass_table_age_seconds{table=\"routes\"} 1.5",
            "pistachiopass_platform_calls_total{outcome=\"unchanged\"} 1.0",
            "pistachiopass_peer_messages_total{direction=\"sent\",kind=\"heartbeat\"} 1.0",
            "pistachiopass_peer_events_total{event=\"refused\"} 1.0",
            "pistachiopass_leases_total{outcome=\"granted\"} 1.0",
            "pistachiopass_bookings_total{verdict=\"may_have_run\"} 1.0",
        )
    }
}
