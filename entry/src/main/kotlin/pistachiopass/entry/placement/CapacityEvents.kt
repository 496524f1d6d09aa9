/** Log lines and counters of the decisions on leases and pledges by the owner of an endpoint. */
package pistachiopass.entry.placement

import pistachiopass.capacity.CapacityListener
import pistachiopass.capacity.LeaseGrant
import pistachiopass.capacity.LeaseRefusal
import pistachiopass.capacity.LeaseRelease
import pistachiopass.capacity.LeaseRequest
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.entry.metrics.LeaseOutcome
import pistachiopass.entry.metrics.Metrics
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId

/** Logs each decision to [log], counts it in [metrics], or both. */
internal class CapacityEvents(private val metrics: Metrics, private val log: EventLog) : CapacityListener {
    override fun onGranted(request: LeaseRequest, grant: LeaseGrant, holder: InstanceId) {
        metrics.countLeaseDecision(LeaseOutcome.GRANTED)
        log.log(
            Event.LEASE_GRANTED,
            request.requestId,
            field("endpoint", request.endpoint),
            field("holder", holder),
            field("tokens", request.needed.tokens),
            tokenField("lease", grant.lease.value),
        )
    }

    override fun onRefused(request: LeaseRequest, reason: LeaseRefusal, holder: InstanceId) {
        metrics.countLeaseDecision(LeaseOutcome.REFUSED)
        log.log(
            Event.LEASE_REFUSED,
            request.requestId,
            field("endpoint", request.endpoint),
            field("holder", holder),
            field("tokens", request.needed.tokens),
            field("reason", reason),
        )
    }

    override fun onExpired(endpoint: EndpointId, lease: RequestId, holder: InstanceId) {
        metrics.countLeaseDecision(LeaseOutcome.EXPIRED)
        log.log(
            Event.LEASE_EXPIRED,
            field("endpoint", endpoint),
            field("holder", holder),
            tokenField("lease", lease.value),
        )
    }

    override fun onReleased(release: LeaseRelease): Unit = metrics.countLeaseDecision(LeaseOutcome.RETURNED)

    override fun onColdChanged(endpoint: EndpointId, isCold: Boolean): Unit =
        log.log(if (isCold) Event.ENDPOINT_COLD else Event.ENDPOINT_WARM, field("endpoint", endpoint))

    override fun onPledged(endpoint: EndpointId, pledger: InstanceId): Unit =
        log.log(Event.PLEDGE_MOVED, field("endpoint", endpoint), field("pledger", pledger))
}
