/** Detection of cold starts of an endpoint, and the progress of its warm-up. */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.StartId

/**
 * Tracks the cold start of one endpoint: it is cold until its first load report, and again after a new start id, a
 * failure, missing reports, or when it reports that it is cold.
 *
 * An endpoint that reports itself cold keeps its cold limit. For one that is cold for another reason, the limit rises
 * to the warm budget with completed work: tokens where it has KV cache memory, requests where it has none.
 */
internal class ColdStart(private val onChange: (isCold: Boolean) -> Unit) {
    private var startId: StartId? = null
    private var reportsCold: Boolean = false
    private var completedTokens: Long = 0
    private var tokensAtColdStart: Long = 0
    private var completedRequests: Int = 0

    /** Whether the endpoint is in a cold start. */
    var isCold: Boolean = true
        private set(value) {
            if (field == value) return
            field = value
            onChange(value)
        }

    fun onReport(report: EndpointReport, endpoint: Endpoint) {
        val known = startId
        startId = report.startId
        completedTokens = report.completedTokens
        when {
            known == null -> isCold = report.cold
            known != report.startId -> markCold(fromTokens = 0)
            report.cold && !isCold -> markCold(fromTokens = completedTokens)
            reportsCold && !report.cold -> isCold = false
        }
        reportsCold = report.cold
        warmUp(endpoint)
    }

    fun onCompleted(endpoint: Endpoint) {
        completedRequests++
        warmUp(endpoint)
    }

    fun markCold(): Unit = markCold(completedTokens)

    /** Returns the progress from 0.0, at the cold limit, to 1.0, at the warm budget. */
    fun warmUpFraction(endpoint: Endpoint): Double = when {
        !isCold -> 1.0
        reportsCold || startId == null -> 0.0
        else -> progress(endpoint)
    }

    private fun markCold(fromTokens: Long) {
        isCold = true
        tokensAtColdStart = fromTokens
        completedRequests = 0
    }

    private fun warmUp(endpoint: Endpoint) {
        if (isCold && !reportsCold && progress(endpoint) >= 1.0) isCold = false
    }

    private fun progress(endpoint: Endpoint): Double {
        val growthTokens = endpoint.budget.warm.tokens - endpoint.budget.cold.tokens
        val progress = when {
            growthTokens > 0 -> (completedTokens - tokensAtColdStart).toDouble() / growthTokens
            else -> completedRequests.toDouble() / endpoint.slots.coerceAtLeast(1)
        }
        return progress.coerceIn(0.0, 1.0)
    }
}
