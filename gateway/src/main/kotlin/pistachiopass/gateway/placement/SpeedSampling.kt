/**
 * Takes samples of endpoint speeds from responses.
 *
 * For a model engine the expected time is the forecast at published speeds, with the delay by the known load. For other
 * endpoints none is published; there the same time is expected of all, and the median of the service is the reference.
 */
package pistachiopass.gateway.placement

import pistachiopass.estimate.EndpointGroup
import pistachiopass.estimate.SpeedSample
import pistachiopass.gateway.model.Service

/** Returns the group of the endpoints of this service, whose speeds are compared with each other. */
internal val Service.speedGroup: EndpointGroup get() = EndpointGroup(name.value, isSpeedPublished = engine != null)

/** Takes the sample of one attempt, an [assignment] of [placed] requests to endpoints of [service]. */
internal class SpeedSampling(
    private val load: FleetLoad,
    private val service: Service,
    private val assignment: Assignment,
    private val placed: List<PlacedWork>,
) {
    private var sample: SpeedSample? = null
    private var sampledMillis = 0L

    /**
     * Records that the first event, or the whole body, came [observedMillis] after the request was sent, at
     * [nowMillis]. A prompt that is split over several engines is no sample, since it does not show which was slow.
     */
    fun onFirstData(observedMillis: Double, nowMillis: Long) {
        val work = placed.singleOrNull() ?: return
        val taken = SpeedSample(
            expectedMillisOf(work),
            observedMillis + OVERHEAD_MILLIS,
            work.before.requests + 1,
            assignment.endpoint.published.slots,
        )
        val isRecorded = load.estimates.record(work.estimate.endpoint, service.speedGroup, taken)
        sample = taken.takeIf { isRecorded }
        sampledMillis = nowMillis
    }

    /** Takes the sample back at [nowMillis], since the response broke off. */
    fun onBroken(nowMillis: Long) {
        sample?.let { load.estimates.withdraw(placed[0].estimate.endpoint, it, nowMillis - sampledMillis) }
        sample = null
    }

    /** The forecast contains the slowness that was assumed, except in the pass after the prefill. */
    private fun expectedMillisOf(work: PlacedWork): Double {
        val engine = service.engine ?: return PLAIN_ESTIMATE_MILLIS
        val before = work.before
        val pass = engine.passMillis(before.decodingRequests + 1, before.contextTokens)
        return maxOf(0.0, assignment.forecastMillis - pass) / before.slowness + pass + OVERHEAD_MILLIS
    }
}

/** Added to expected and observed times: the network takes about as long, whatever the speed of the endpoint. */
private const val OVERHEAD_MILLIS: Double = 5.0
