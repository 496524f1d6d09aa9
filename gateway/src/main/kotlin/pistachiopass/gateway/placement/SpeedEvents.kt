/** Log lines on endpoints that become slower or faster than the others of their service. */
package pistachiopass.gateway.placement

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.estimate.EstimateListener
import pistachiopass.estimate.SpeedEstimate
import kotlin.math.roundToInt

/** Writes changes of speed to [log]. */
internal class SpeedEvents(private val log: EventLog) : EstimateListener {
    override fun onChange(estimate: SpeedEstimate, isNormal: Boolean): Unit = log.log(
        if (isNormal) Event.ENDPOINT_SPEED_USUAL else Event.ENDPOINT_SPEED_UNUSUAL,
        field("endpoint", estimate.endpoint.endpoint),
        field("factorPercent", (estimate.factor * PERCENT).roundToInt()),
        field("samples", estimate.samples.roundToInt()),
    )
}

private const val PERCENT: Int = 100
