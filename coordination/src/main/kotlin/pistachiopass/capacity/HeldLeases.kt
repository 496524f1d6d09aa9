/** The leases under which an instance sends its requests, as the holder keeps them. */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** A lease that was granted to this instance for one request. */
public class HeldLease internal constructor(
    public val endpoint: EndpointId,
    public val owner: InstanceId,
    public val id: RequestId,
    private val sendUntilMillis: Long,
    private val clock: LocalClock,
) {
    /** Returns whether the request may still be sent; to be checked immediately before sending. */
    public fun maySend(): Boolean = clock.nowMillis() < sendUntilMillis
}

/** Keeps the leases of this instance from their grant to their release; thread-safe. */
public class HeldLeases(private val pledger: Pledger, private val clock: LocalClock) {
    private val held: ConcurrentHashMap<RequestId, HeldLease> = ConcurrentHashMap()

    /**
     * Adds a lease that [owner] granted in answer to a lease request that was sent when this clock read
     * [requestSentAtMillis].
     *
     * The owner's limit for sending is converted to this clock by two estimates, neither of which can be too late: from
     * the time of the lease request, which preceded the grant, and from the last heartbeat that the owner answered. The
     * later one applies.
     */
    public fun add(owner: InstanceId, endpoint: EndpointId, grant: LeaseGrant, requestSentAtMillis: Long): HeldLease {
        val fromRequest = requestSentAtMillis + (grant.sendUntilMillis - grant.grantedAt.millis)
        val fromHeartbeat = pledger.localMillisOrNull(owner, grant.grantedAt, grant.sendUntilMillis)
        val sendUntilMillis = maxOf(fromRequest, fromHeartbeat ?: fromRequest)
        return HeldLease(endpoint, owner, grant.lease, sendUntilMillis, clock).also { held[it.id] = it }
    }

    /** Removes a lease, which ends its renewal. */
    public fun remove(lease: HeldLease) {
        held.remove(lease.id)
    }

    /** Returns the leases to renew with each owner: the one that granted the lease and the published one may differ. */
    public fun running(publishedOwner: (EndpointId) -> InstanceId?): Map<InstanceId, List<RunningLease>> =
        held.values.flatMap { lease ->
            setOfNotNull(lease.owner, publishedOwner(lease.endpoint))
                .map { it to RunningLease(lease.endpoint, lease.id) }
        }.groupBy({ it.first }) { it.second }
}
