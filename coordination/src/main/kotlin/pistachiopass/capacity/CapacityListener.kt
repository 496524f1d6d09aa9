/** What the owner's side tells of its decisions, for logs and metrics. */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId

/** Is told of decisions while the table is locked, so it must return quickly and not call back. */
public interface CapacityListener {
    /** A lease was granted to [holder]. */
    public fun onGranted(request: LeaseRequest, grant: LeaseGrant, holder: InstanceId): Unit = Unit

    /** A lease was refused to [holder]. */
    public fun onRefused(request: LeaseRequest, reason: LeaseRefusal, holder: InstanceId): Unit = Unit

    /** A lease was not renewed in time. */
    public fun onExpired(endpoint: EndpointId, lease: RequestId, holder: InstanceId): Unit = Unit

    /** A lease was given back. */
    public fun onReleased(release: LeaseRelease): Unit = Unit

    /** An endpoint turned cold or warm. */
    public fun onColdChanged(endpoint: EndpointId, isCold: Boolean): Unit = Unit

    /** A series of pledges of [pledger] began here. */
    public fun onPledged(endpoint: EndpointId, pledger: InstanceId): Unit = Unit

    public companion object {
        /** Takes no note of anything. */
        public val NONE: CapacityListener = object : CapacityListener {}
    }
}
