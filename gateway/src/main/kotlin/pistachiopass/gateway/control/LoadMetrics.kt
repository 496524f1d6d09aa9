/** Metrics of load: the estimated speeds of endpoints, and what became of requests by priority. */
package pistachiopass.gateway.control

import pistachiopass.shortage.ShortageCounts

/** Writes the metrics of [speeds] and [counts]. */
internal class LoadMetrics(private val speeds: SpeedMetrics, private val counts: ShortageCounts) {
    /** Returns the metrics in the Prometheus text format. */
    fun scrape(): String = speeds.scrape() + shortageMetricsOf(counts)
}
