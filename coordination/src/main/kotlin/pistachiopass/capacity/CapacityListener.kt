/** Notifications about the decisions of a lease table, for logs and metrics. */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId

/**
 * Receives the decisions of a lease table.
 *
 * It is called while the table is locked, so an implementation must return quickly and must not call the table.
 */
public interface CapacityListener {
    /** A lease was granted to [holder]. */
    public fun onGranted(request: LeaseRequest, grant: LeaseGrant, holder: InstanceId): Unit = Unit

    /** A lease was refused to [holder]. */
    public fun onRefused(request: LeaseRequest, reason: LeaseRefusal, holder: InstanceId): Unit = Unit

    /** A lease expired, since [holder] did not renew it in time. */
    public fun onExpired(endpoint: EndpointId, lease: RequestId, holder: InstanceId): Unit = Unit

    /** A lease was released by its holder. */
    public fun onReleased(release: LeaseRelease): Unit = Unit

    /** An endpoint entered or left its cold start. */
    public fun onColdChanged(endpoint: EndpointId, isCold: Boolean): Unit = Unit

    /** [pledger] began a new series of pledges: none of its earlier ones was still valid. */
    public fun onPledged(endpoint: EndpointId, pledger: InstanceId): Unit = Unit

    public companion object {
        /** Ignores all notifications. */
        public val NONE: CapacityListener = object : CapacityListener {}
    }
}
