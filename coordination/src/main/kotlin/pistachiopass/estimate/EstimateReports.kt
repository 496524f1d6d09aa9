/** What operators are told of the estimates: the most unusual ones, and those that become unusual or usual again. */
package pistachiopass.estimate

import kotlin.math.abs
import kotlin.math.ln

/** Is told when the factor of an endpoint leaves or returns to the normal range. */
public fun interface EstimateListener {
    /** Called with the [estimate] that left the range, or returned to it if [isNormal]. */
    public fun onChange(estimate: SpeedEstimate, isNormal: Boolean)
}

/** Reports on [estimates] to [listener]. Confined to one thread. */
public class EstimateReports(
    private val estimates: EndpointEstimates,
    private val listener: EstimateListener = EstimateListener { _, _ -> },
) {
    private val settings = estimates.settings

    /** Returns the estimates furthest from 1, the furthest first; as many as are reported at a time. */
    public fun mostUnusual(): List<SpeedEstimate> =
        estimates.all.map { estimates.estimateOf(it.endpoint) }
            .sortedByDescending { abs(ln(it.factor)) }
            .take(settings.reportedMax)

    /** Tells the listener of endpoints whose factor has left or returned to the normal range; for once a second. */
    public fun tellChanges() {
        var reported = estimates.all.count { it.isReported }
        for (entry in estimates.all) {
            val estimate = estimates.estimateOf(entry.endpoint)
            val distance = maxOf(estimate.factor, 1 / estimate.factor)
            val isLeaving = !entry.isReported && distance >= settings.reportedFactor &&
                estimate.samples >= settings.reportedSamplesMin && reported < settings.reportedMax
            val isReturning = entry.isReported && distance <= settings.normalFactor
            if (!isLeaving && !isReturning) continue
            entry.isReported = isLeaving
            reported += if (isLeaving) 1 else -1
            listener.onChange(estimate, isNormal = isReturning)
        }
    }
}
