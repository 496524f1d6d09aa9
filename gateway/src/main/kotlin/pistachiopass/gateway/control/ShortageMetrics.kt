/** Metrics of requests to model engines by rank; docs/OPERATIONS.md describes them. */
package pistachiopass.gateway.control

import pistachiopass.shortage.ShortageCounts
import pistachiopass.shortage.ShortageOutcome

/** Returns [counts] in Prometheus's text form, without ranks that no request had. */
internal fun shortageMetricsOf(counts: ShortageCounts): String = buildString {
    appendLine("# HELP pistachiopass_ranked_requests_total Requests to model engines by rank and what became of them.")
    appendLine("# TYPE pistachiopass_ranked_requests_total counter")
    for (rank in counts.ranks()) {
        for (outcome in ShortageOutcome.entries) {
            val labels = "outcome=\"${outcome.text}\",rank=\"$rank\""
            appendLine("pistachiopass_ranked_requests_total{$labels} ${counts.of(rank, outcome)}")
        }
    }
}
