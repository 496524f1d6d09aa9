/** Accounts, pledges and leases of one instance, and the configuration that they depend on. */
package pistachiopass.entry.placement

import pistachiopass.capacity.CapacityTimes
import pistachiopass.capacity.EndpointSummary
import pistachiopass.capacity.HeldLeases
import pistachiopass.capacity.InstanceLife
import pistachiopass.capacity.LeaseTable
import pistachiopass.capacity.LocalClock
import pistachiopass.capacity.Pledger
import pistachiopass.capacity.SettlingShares
import pistachiopass.capacity.leaseTableOf
import pistachiopass.capacity.status
import pistachiopass.entry.endpoint.LoadReport
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.log
import pistachiopass.entry.metrics.Metrics
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.peer.PeerIdentity
import pistachiopass.queue.AdmissionQueue
import pistachiopass.queue.QueueBudget
import pistachiopass.queue.admissionQueueOf
import pistachiopass.queue.firstTokenPredictorOf
import pistachiopass.status.EndpointStatus
import pistachiopass.status.LeaseStatus
import pistachiopass.tables.TablesState
import java.util.concurrent.ConcurrentHashMap

/** Holds the components that decide on endpoint capacity and answers queries about their state. */
public class CapacityState internal constructor(self: PeerIdentity, metrics: Metrics, log: EventLog) {
    private val instance: InstanceId = self.instance

    internal val times: CapacityTimes = CapacityTimes()
    internal val clock: LocalClock = LocalClock()
    internal val shares: SettlingShares = SettlingShares(instance, times, clock)
    internal val pledger: Pledger = Pledger(instance, times, clock)
    internal val held: HeldLeases = HeldLeases(pledger, clock)
    internal val summaries: ConcurrentHashMap<EndpointId, EndpointSummary> = ConcurrentHashMap()

    @Volatile
    internal var capacityConfig: CapacityConfig = CapacityConfig(TablesState(), instance)
        private set

    /** The data centre of this instance. */
    public val dataCentre: DataCentreId = self.dataCentre

    internal val table: LeaseTable = leaseTableOf(self.life(), times, clock, CapacityEvents(metrics, log))
    internal val leaseService: LeaseService = LeaseService(table, clock, ::queueOf)

    /** Returns the endpoints whose load this instance polls: those on which it grants leases. */
    public fun endpointsToPoll(): List<Endpoint> = capacityConfig.accounts
        .filter { it.isOwned || pledger.pledgedToOrNull(it.endpoint.id) == instance }
        .map { it.endpoint }

    /** Applies a load report that was requested [requestedMillisAgo] milliseconds ago. */
    public fun onReport(endpoint: EndpointId, report: LoadReport, requestedMillisAgo: Long) {
        table.onReport(endpoint, report.toEndpointReport(clock.nowMillis() - requestedMillisAgo))
        leaseService.drain()
    }

    /** Returns the status of the endpoints whose accounts this instance keeps. */
    public fun endpointStatus(): List<EndpointStatus> = table.accounts().map { it.toEndpointStatus(capacityConfig) }

    /** Returns number and size of the leases that this instance has granted. */
    public fun leaseStatus(): LeaseStatus = table.status()

    /** Returns the instance to ask for leases on [endpoint], or null when there is none. */
    internal fun grantorOrNull(endpoint: EndpointId): InstanceId? =
        pledger.pledgedToOrNull(endpoint) ?: capacityConfig.owners[endpoint]

    /** Returns the load of [endpoint] that its owner reported last, or null when it has reported none. */
    internal fun summaryOrNull(endpoint: EndpointId): EndpointSummary? = summaries[endpoint]

    private fun queueOf(endpoint: EndpointId): AdmissionQueue = admissionQueueOf(
        nowMillis = clock::nowMillis,
        budget = { table.limitOf(endpoint).let { QueueBudget(it.tokens, it.slots) } },
        forecast = firstTokenPredictorOf(),
    )

    internal fun onTables(state: TablesState) {
        val next = CapacityConfig(state, instance)
        capacityConfig = next
        shares.update(next.endpoints, next.instances)
        pledger.retain(next.instances.mapTo(HashSet()) { it.id })
        table.configure(next.accounts)
        summaries.keys.retainAll(next.endpoints.mapTo(HashSet()) { it.id })
        leaseService.drain()
    }
}

internal fun PeerIdentity.life(): InstanceLife = InstanceLife(instance, startId)
