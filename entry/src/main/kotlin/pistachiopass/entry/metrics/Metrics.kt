/**
 * The daemon's metrics, recorded with Micrometer and returned in Prometheus text format.
 *
 * A scrape holds the metrics of the [Metric] catalogue and Micrometer's metrics of JVM memory and processor use.
 */
package pistachiopass.entry.metrics

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import pistachiopass.model.RouteName
import pistachiopass.model.Verdict
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong

/** Records the metrics of the instance; safe for use by many threads. */
public class Metrics internal constructor(private val registry: PrometheusMeterRegistry) {
    private val streamBytes = AtomicLong()

    /** Metrics of the connections between instances. */
    public val peers: PeerMetrics = PeerMetrics(registry)

    init {
        registry.gauge(Metric.STREAM_BYTES, emptyList()) { streamBytes.get().toDouble() }
    }

    /** Records that a request of [route] ended [durationMillis] after its arrival. */
    public fun recordRequest(route: RouteName, outcome: RequestOutcome, durationMillis: Long): Unit =
        registry.timer(Metric.REQUESTS, listOf(route.value, outcome.name.lowercase()))
            .record(Duration.ofMillis(durationMillis))

    /** Records that the first token for a prompt of [promptTokens] came [delayMillis] after the request's arrival. */
    public fun recordFirstToken(promptTokens: Long, delayMillis: Long): Unit =
        registry.timer(Metric.FIRST_TOKEN, listOf(promptBandOf(promptTokens).text))
            .record(Duration.ofMillis(delayMillis))

    /** Counts a retry of a request of [route]. */
    public fun countRetry(route: RouteName): Unit =
        registry.counter(Metric.RETRIES, listOf(route.value)).increment()

    /** Adds [deltaBytes], negative if memory is freed, to the bytes that stream buffers hold. */
    public fun addStreamBytes(deltaBytes: Long) {
        streamBytes.addAndGet(deltaBytes)
    }

    /** Registers gauges that call [version] and [ageMillis] of [table] at each scrape; the age may be unknown, null. */
    public fun registerTable(table: Table, version: () -> Long, ageMillis: () -> Long?) {
        val label = listOf(table.name.lowercase())
        registry.gauge(Metric.TABLE_VERSION, label) { version().toDouble() }
        registry.gauge(Metric.TABLE_AGE, label) { ageMillis()?.let { it / MILLIS_PER_SECOND } ?: Double.NaN }
    }

    /** Counts a call to the platform. */
    public fun countPlatformCall(outcome: PlatformOutcome): Unit =
        registry.counter(Metric.PLATFORM_CALLS, listOf(outcome.name.lowercase())).increment()

    /** Counts an event in the life cycle of a lease. */
    public fun countLeaseDecision(outcome: LeaseOutcome): Unit =
        registry.counter(Metric.LEASES, listOf(outcome.name.lowercase())).increment()

    /** Counts a booking by the verdict that its caller received. */
    public fun countBooking(verdict: Verdict): Unit =
        registry.counter(Metric.BOOKINGS, listOf(verdict.name.lowercase())).increment()

    /** Returns all metrics in Prometheus text format. */
    public fun scrape(): String = registry.scrape()
}

/** Returns metrics with a new registry. */
public fun metricsOf(): Metrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    registry.config().meterFilter(TimerBuckets())
    JvmMemoryMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
    return Metrics(registry)
}

private const val MILLIS_PER_SECOND: Double = 1_000.0
