/**
 * The daemon's metrics, kept with Micrometer and read in Prometheus's text form.
 *
 * Besides those of the [Metric] catalogue, a scrape holds Micrometer's metrics of JVM memory and processor use.
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

/** Counts and times what the instance does; safe for use by many threads. */
public class Metrics internal constructor(private val registry: PrometheusMeterRegistry) {
    private val streamBytes = AtomicLong()

    /** Counts what happens between instances. */
    public val peers: PeerMetrics = PeerMetrics(registry)

    init {
        registry.gauge(Metric.STREAM_BYTES, emptyList()) { streamBytes.get().toDouble() }
    }

    /** Records that a request of [route] ended [durationMillis] after its arrival. */
    public fun recordRequest(route: RouteName, outcome: RequestOutcome, durationMillis: Long): Unit =
        registry.timer(Metric.REQUESTS, listOf(route.value, outcome.name.lowercase()))
            .record(Duration.ofMillis(durationMillis))

    /** Records that the first token of an answer to a prompt of [promptTokens] came [delayMillis] after arrival. */
    public fun recordFirstToken(promptTokens: Long, delayMillis: Long): Unit =
        registry.timer(Metric.FIRST_TOKEN, listOf(promptBandOf(promptTokens).text))
            .record(Duration.ofMillis(delayMillis))

    /** Counts a repeated attempt of a request of [route]. */
    public fun countRetry(route: RouteName): Unit =
        registry.counter(Metric.RETRIES, listOf(route.value)).increment()

    /** Adds [deltaBytes], negative when memory is freed, to the bytes that stream buffers hold. */
    public fun addStreamBytes(deltaBytes: Long) {
        streamBytes.addAndGet(deltaBytes)
    }

    /** Reads version and age of [table], null while none was confirmed, from these functions at each scrape. */
    public fun registerTable(table: Table, version: () -> Long, ageMillis: () -> Long?) {
        val label = listOf(table.name.lowercase())
        registry.gauge(Metric.TABLE_VERSION, label) { version().toDouble() }
        registry.gauge(Metric.TABLE_AGE, label) { ageMillis()?.let { it / MILLIS_PER_SECOND } ?: Double.NaN }
    }

    /** Counts a call to the platform. */
    public fun countPlatformCall(outcome: PlatformOutcome): Unit =
        registry.counter(Metric.PLATFORM_CALLS, listOf(outcome.name.lowercase())).increment()

    /** Counts a decision on a lease. */
    public fun countLeaseDecision(outcome: LeaseOutcome): Unit =
        registry.counter(Metric.LEASES, listOf(outcome.name.lowercase())).increment()

    /** Counts a booking by the verdict that its caller got. */
    public fun countBooking(verdict: Verdict): Unit =
        registry.counter(Metric.BOOKINGS, listOf(verdict.name.lowercase())).increment()

    /** Returns all metrics in Prometheus's text form. */
    public fun scrape(): String = registry.scrape()
}

/** Returns metrics with a registry of their own. */
public fun metricsOf(): Metrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    registry.config().meterFilter(TimerBuckets())
    JvmMemoryMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
    return Metrics(registry)
}

private const val MILLIS_PER_SECOND: Double = 1_000.0
