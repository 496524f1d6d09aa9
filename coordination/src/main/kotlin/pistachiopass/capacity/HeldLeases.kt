/** The holder's side: leases that requests of this instance run under. */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** A lease that a request of this instance holds. */
public class HeldLease internal constructor(
    public val endpoint: EndpointId,
    public val owner: InstanceId,
    public val id: RequestId,
    private val sendUntilMillis: Long,
    private val clock: LocalClock,
) {
    /** Returns whether the request may still be sent; asked immediately before the send. */
    public fun maySend(): Boolean = clock.nowMillis() < sendUntilMillis
}

/** Keeps the leases from their grant to their release; safe for use by many threads. */
public class HeldLeases(private val pledger: Pledger, private val clock: LocalClock) {
    private val held: ConcurrentHashMap<RequestId, HeldLease> = ConcurrentHashMap()

    /**
     * Adds a lease that [owner] granted to a request sent to it when this clock read [askedAtMillis].
     *
     * The owner's limit for the send is moved to this clock by two safe estimates, of which the later counts: from
     * the time of the question, which came before the grant, and from the last heartbeat that the owner answered.
     */
    public fun add(owner: InstanceId, endpoint: EndpointId, grant: LeaseGrant, askedAtMillis: Long): HeldLease {
        val fromQuestion = askedAtMillis + (grant.sendUntilMillis - grant.grantedAt.millis)
        val fromHeartbeat = pledger.localMillisOrNull(owner, grant.grantedAt, grant.sendUntilMillis)
        val sendUntilMillis = maxOf(fromQuestion, fromHeartbeat ?: fromQuestion)
        return HeldLease(endpoint, owner, grant.lease, sendUntilMillis, clock).also { held[it.id] = it }
    }

    /** Ends the renewal of a lease. */
    public fun remove(lease: HeldLease) {
        held.remove(lease.id)
    }

    /** Returns the leases to renew with each owner: the one that granted and the published one, which may differ. */
    public fun running(publishedOwner: (EndpointId) -> InstanceId?): Map<InstanceId, List<RunningLease>> =
        held.values.flatMap { lease ->
            setOfNotNull(lease.owner, publishedOwner(lease.endpoint))
                .map { it to RunningLease(lease.endpoint, lease.id) }
        }.groupBy({ it.first }) { it.second }
}
