/**
 * The table from which the owner of endpoints grants leases on their capacity.
 *
 * Every instance has a lease table. The table of an endpoint's published owner receives the pledges of the other
 * instances; an instance that cannot reach the owner pledges to its own table. docs/design/capacity.md explains why no
 * endpoint is given more than its budget.
 */
package pistachiopass.capacity

import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId

/** Identifies one incarnation of an instance: one run of its process. */
public data class InstanceIncarnation(val instance: InstanceId, val startId: StartId)

/** Returns a lease table without endpoints. */
public fun leaseTableOf(
    self: InstanceIncarnation,
    times: CapacityTimes = CapacityTimes(),
    clock: LocalClock = LocalClock(),
    listener: CapacityListener = CapacityListener.NONE,
): LeaseTable = LeaseTable(self, times, clock, listener)

/** Grants, renews, releases and expires leases; thread-safe. */
public class LeaseTable internal constructor(
    private val self: InstanceIncarnation,
    private val times: CapacityTimes,
    private val clock: LocalClock,
    private val listener: CapacityListener,
) {
    private val accounts: HashMap<EndpointId, EndpointAccount> = HashMap()
    private val incarnations: HolderIncarnations = HolderIncarnations()
    private val issuer: LeaseIssuer = LeaseIssuer(self, times)

    /** Replaces the configuration of all accounts; accounts of endpoints that are not in [configs] are dropped. */
    @Synchronized
    public fun configure(configs: List<AccountConfig>) {
        accounts.keys.retainAll(configs.mapTo(HashSet()) { it.endpoint.id })
        configs.forEach { config ->
            val id = config.endpoint.id
            accounts.getOrPut(id) { EndpointAccount(config, times) { listener.onColdChanged(id, it) } }.config = config
        }
    }

    /** Processes pledges and renewals; the reply carries the clock reading that the next heartbeat must echo. */
    @Synchronized
    public fun onHeartbeat(sender: InstanceIncarnation, heartbeat: CapacityHeartbeat): CapacityHeartbeatReply {
        val now = clock.nowMillis()
        if (incarnations.recordIfNewer(sender)) accounts.values.forEach { it.endOtherIncarnations(sender, now) }
        val echoed = heartbeat.echoed?.takeIf { it.startId == self.startId }
        if (echoed != null) {
            val expiresAtMillis = echoed.millis + times.pledgeMillis
            heartbeat.pledges.forEach { pledge ->
                val received = ReceivedPledge(sender, heartbeat.sequence, pledge.share, expiresAtMillis)
                val isNewSeries = accounts[pledge.endpoint]?.pledges?.accept(received, now) == true
                if (isNewSeries) listener.onPledged(pledge.endpoint, sender.instance)
            }
        }
        heartbeat.running.forEach { running ->
            val account = accounts[running.endpoint]
            account?.leases?.get(running.lease)?.takeIf { it.holder == sender }?.renew(now)
            account?.foreign?.renew(running.lease, now)
        }
        return CapacityHeartbeatReply(
            OwnerTime(self.startId, now),
            accounts.values.filter { it.config.isOwned }.map { it.summary(now) }
        )
    }

    /** Returns a grant, or the reason why the lease cannot be granted now. */
    @Synchronized
    public fun request(holder: InstanceIncarnation, request: LeaseRequest): LeaseReply {
        val now = clock.nowMillis()
        if (incarnations.recordIfNewer(holder)) accounts.values.forEach { it.endOtherIncarnations(holder, now) }
        val outcome = accounts[request.endpoint]?.tryAllocate(request.needed, now)
            ?: AllocationOutcome.Refused(LeaseRefusal.NOT_OWNER)
        return when (outcome) {
            is AllocationOutcome.Refused -> LeaseReply(refusal = outcome.reason)
                .also { listener.onRefused(request, outcome.reason, holder.instance) }
            is AllocationOutcome.Allocated -> {
                val lease = issuer.issue(holder, request, outcome, now)
                accounts.getValue(request.endpoint).leases[lease.id] = lease
                val grant = LeaseGrant(lease.id, OwnerTime(self.startId, now), lease.sendUntilMillis)
                listener.onGranted(request, grant, holder.instance)
                LeaseReply(grant)
            }
        }
    }

    /** Processes the release of a lease. */
    @Synchronized
    public fun release(release: LeaseRelease) {
        val account = accounts[release.endpoint] ?: return
        val now = clock.nowMillis()
        if (release.end == LeaseEnd.FAILED) account.coldStart.markCold()
        val lease = account.leases[release.lease] ?: return
        listener.onReleased(release)
        if (release.end == LeaseEnd.COMPLETED) account.coldStart.onCompleted(account.config.endpoint)
        if (release.end.holdsNothing) account.end(lease.id, now) else lease.release(now)
    }

    /** Processes a load report of an endpoint. */
    @Synchronized
    public fun onReport(endpoint: EndpointId, report: EndpointReport) {
        accounts[endpoint]?.onReport(report, clock.nowMillis())
    }

    /** Records that the endpoint confirmed a cancellation sent at [sentAtMillis]: it holds nothing for the lease. */
    @Synchronized
    public fun onCancelled(endpoint: EndpointId, lease: RequestId, sentAtMillis: Long) {
        val account = accounts[endpoint] ?: return
        val held = account.leases[lease] ?: return
        if (sentAtMillis >= held.lastArrivalMillis(times)) account.end(lease, clock.nowMillis())
    }

    /** Expires leases, marks endpoints without load reports cold, and returns the requests that should be cancelled. */
    @Synchronized
    public fun sweep(): List<RunningLease> {
        val now = clock.nowMillis()
        return accounts.values.flatMap { account ->
            if (account.pledges.unexpired(now).isNotEmpty()) account.markColdIfSilent(now)
            account.expireLeases(now).forEach {
                listener.onExpired(account.config.endpoint.id, it.id, it.holder.instance)
            }
            account.orphans(now, times).map { RunningLease(account.config.endpoint.id, it) }
        }
    }

    /** Returns a snapshot of each account. */
    @Synchronized
    public fun accounts(): List<AccountStatus> = accounts.values.map { it.status(clock.nowMillis()) }

    /** Returns why [needed] cannot be leased now, or null if it can; grants nothing. */
    @Synchronized
    public fun refusalOrNull(endpoint: EndpointId, needed: Capacity): LeaseRefusal? {
        val account = accounts[endpoint] ?: return LeaseRefusal.NOT_OWNER
        return (account.tryAllocate(needed, clock.nowMillis()) as? AllocationOutcome.Refused)?.reason
    }

    /** Returns the current limit of the endpoint, cold or warm, or [Capacity.NONE] if it has no account. */
    @Synchronized
    public fun limitOf(endpoint: EndpointId): Capacity =
        accounts[endpoint]?.let { it.config.endpoint.budget.at(it.warmUpFraction) } ?: Capacity.NONE
}
