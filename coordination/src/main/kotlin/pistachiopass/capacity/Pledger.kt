/**
 * The decision to which owner an instance pledges its share of each endpoint.
 *
 * A pledge to another owner, or to another incarnation of the same one, is sent only after the previous pledge has
 * certainly expired. The owner counts the validity of a pledge from a reading of its own clock that this instance had
 * received before it sent the pledge. This instance counts it from the time of sending, which is later, and adds a
 * margin for clock drift.
 */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId

/** Decides on the pledges of one instance; thread-safe. */
public class Pledger(
    private val self: InstanceId,
    private val times: CapacityTimes,
    private val clock: LocalClock,
) {
    private val owners: HashMap<InstanceId, KnownOwner> = HashMap()
    private val sentPledges: HashMap<EndpointId, SentPledge> = HashMap()
    private var sequence: Long = 0

    /**
     * Returns the heartbeat to send now to each owner, including this instance itself.
     *
     * [publishedOwners] gives the published owner of each endpoint, [shares] what this instance may pledge, and
     * [running] the leases to renew with each owner.
     */
    @Synchronized
    public fun heartbeats(
        publishedOwners: Map<EndpointId, InstanceId>,
        shares: Map<EndpointId, Share>,
        running: Map<InstanceId, List<RunningLease>> = emptyMap(),
    ): Map<InstanceId, CapacityHeartbeat> {
        val now = clock.nowMillis()
        sentPledges.keys.retainAll(publishedOwners.keys + sentPledges.filterValues { it.untilMillis > now }.keys)
        val pledges = publishedOwners.entries.filterNot { shares[it.key]?.isEmpty ?: true }
            .groupBy({ (endpoint, owner) -> pledgeTo(endpoint, owner, now) }) { (endpoint, _) ->
                EndpointPledge(endpoint, shares.getValue(endpoint))
            }
        val receivers = publishedOwners.values.toSet() + self + running.keys
        sequence++
        return receivers.associateWith { owner ->
            CapacityHeartbeat(
                sequence,
                owners[owner]?.time,
                pledges[owner].orEmpty(),
                running[owner].orEmpty(),
            )
        }
    }

    /** Records the reply to a heartbeat that was sent when this clock read [sentAtMillis]. */
    @Synchronized
    public fun onReply(owner: InstanceId, sentAtMillis: Long, reply: CapacityHeartbeatReply) {
        val known = owners[owner]?.time?.takeIf { it.startId == reply.time.startId }
        val isLate = known != null && known.millis >= reply.time.millis
        if (!isLate) owners[owner] = KnownOwner(reply.time, sentAtMillis, clock.nowMillis())
    }

    /**
     * Returns a reading of this clock that is certainly no later than the reading [ownerMillis] of the owner's clock,
     * or null if that incarnation of the owner has not answered a heartbeat.
     */
    @Synchronized
    public fun localMillisOrNull(owner: InstanceId, at: OwnerTime, ownerMillis: Long): Long? {
        val known = owners[owner]?.takeIf { it.time.startId == at.startId } ?: return null
        return known.sentAtMillis + (ownerMillis - known.time.millis)
    }

    /** Returns the instance to which the share of [endpoint] is pledged, or null if it is not pledged. */
    @Synchronized
    public fun pledgedToOrNull(endpoint: EndpointId): InstanceId? =
        sentPledges[endpoint]?.takeIf { it.untilMillis > clock.nowMillis() }?.owner?.instance

    /** Removes owners that are not in [published], whose clock readings are no longer needed. */
    @Synchronized
    public fun retain(published: Set<InstanceId>) {
        owners.keys.retainAll(published + self)
    }

    /** Records and returns the owner to pledge to now, or null while an earlier pledge elsewhere may still be valid. */
    private fun pledgeTo(endpoint: EndpointId, publishedOwner: InstanceId, nowMillis: Long): InstanceId? {
        val target = targetOrNull(publishedOwner, nowMillis)
        val current = sentPledges[endpoint]?.takeIf { it.untilMillis > nowMillis }
        val owner = target?.takeIf { current == null || current.owner == it } ?: return null
        sentPledges[endpoint] = SentPledge(owner, nowMillis + times.pledgeMillis + times.driftMillis)
        return owner.instance
    }

    /**
     * Returns the published owner, or this instance itself if that owner cannot be reached; null until the result has
     * answered a heartbeat.
     */
    private fun targetOrNull(publishedOwner: InstanceId, nowMillis: Long): InstanceIncarnation? {
        val known = owners[publishedOwner]?.takeIf { nowMillis - it.answeredAtMillis <= times.unreachableMillis }
        val target = if (known != null) publishedOwner else self
        return owners[target]?.let { InstanceIncarnation(target, it.time.startId) }
    }

    private class KnownOwner(val time: OwnerTime, val sentAtMillis: Long, val answeredAtMillis: Long)

    private class SentPledge(val owner: InstanceIncarnation, val untilMillis: Long)
}
