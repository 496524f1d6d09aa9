/** The controller of endpoint capacity: pledges, leases and load reports of one instance. */
package pistachiopass.entry.placement

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.capacity.CapacityTimes
import pistachiopass.capacity.EndpointSummary
import pistachiopass.capacity.HEARTBEAT
import pistachiopass.capacity.HEARTBEAT_ANSWER
import pistachiopass.capacity.Heartbeat
import pistachiopass.capacity.HeartbeatAnswer
import pistachiopass.capacity.HeldLeases
import pistachiopass.capacity.InstanceLife
import pistachiopass.capacity.LEASE_RELEASE
import pistachiopass.capacity.LEASE_RELEASED
import pistachiopass.capacity.LEASE_REPLY
import pistachiopass.capacity.LEASE_REQUEST
import pistachiopass.capacity.LeaseReleased
import pistachiopass.capacity.LocalClock
import pistachiopass.capacity.Pledger
import pistachiopass.capacity.RunningLease
import pistachiopass.capacity.SettlingShares
import pistachiopass.capacity.leaseTableOf
import pistachiopass.capacity.status
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.endpoint.LoadReport
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.settings.Placement
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.InstanceId
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call
import pistachiopass.peer.register
import pistachiopass.queue.AdmissionQueue
import pistachiopass.queue.QueueBudget
import pistachiopass.queue.admissionQueueOf
import pistachiopass.queue.firstTokenPredictorOf
import pistachiopass.status.EndpointStatus
import pistachiopass.status.LeaseStatus
import pistachiopass.tables.TablesState
import java.util.concurrent.ConcurrentHashMap

/** Pledges this instance's shares, keeps the accounts of the endpoints that it owns, and answers the other instances. */
public class CapacityController(
    private val transport: PeerTransport,
    private val client: EndpointClient,
    private val tables: StateFlow<TablesState>,
    private val placement: Placement,
    metrics: Metrics,
    private val log: EventLog = EventLog,
) {
    private val self: PeerIdentity = transport.self
    private val life: InstanceLife = self.life()
    private val times: CapacityTimes = CapacityTimes()
    private val clock: LocalClock = LocalClock()
    private val shares: SettlingShares = SettlingShares(self.instance, times, clock)
    private val pledger: Pledger = Pledger(self.instance, times, clock)
    private val held: HeldLeases = HeldLeases(pledger, clock)
    private val summaries: ConcurrentHashMap<EndpointId, EndpointSummary> = ConcurrentHashMap()

    @Volatile
    private var duties: CapacityDuties = CapacityDuties(tables.value, self.instance)

    /** The data centre of this instance. */
    public val dataCentre: DataCentreId = self.dataCentre

    internal val table = leaseTableOf(life, times, clock, CapacityEvents(metrics, log))
    internal val desk: OwnerDesk = OwnerDesk(table, clock, ::queueOf)
    internal val leases: LeaseClient = LeaseClient(transport, desk, held, clock)

    /** Registers the handlers and starts the loops; they end with the scope. */
    public fun start(scope: CoroutineScope) {
        registerHandlers()
        scope.launch { tables.collect(::onTables) }
        scope.launch { while (isActive) beat(scope) }
        scope.launch { while (isActive) sweep(scope) }
    }

    /** Returns the endpoints whose load this instance reads: those whose leases it grants. */
    public fun endpointsToPoll(): List<Endpoint> = duties.accounts
        .filter { it.isOwned || pledger.pledgedToOrNull(it.endpoint.id) == self.instance }
        .map { it.endpoint }

    /** Takes in a report that was asked for [askedMillisAgo]. */
    public fun onReport(endpoint: EndpointId, report: LoadReport, askedMillisAgo: Long) {
        table.onReport(endpoint, report.toEndpointReport(clock.nowMillis() - askedMillisAgo))
        desk.drain()
    }

    /** Returns the endpoints whose accounts this instance keeps. */
    public fun endpointStatus(): List<EndpointStatus> = table.accounts().map { it.toEndpointStatus(duties) }

    /** Returns number and size of the leases that this instance has granted. */
    public fun leaseStatus(): LeaseStatus = table.status()

    /** Returns the instance to ask for leases on [endpoint], or null when there is none. */
    internal fun grantorOrNull(endpoint: EndpointId): InstanceId? =
        pledger.pledgedToOrNull(endpoint) ?: duties.owners[endpoint]

    /** Returns what the owner last said of the load of [endpoint], or null. */
    internal fun summaryOrNull(endpoint: EndpointId): EndpointSummary? = summaries[endpoint]

    private fun queueOf(endpoint: EndpointId): AdmissionQueue = admissionQueueOf(
        nowMillis = clock::nowMillis,
        budget = { table.limitOf(endpoint).let { QueueBudget(it.tokens, it.slots) } },
        forecast = firstTokenPredictorOf(),
    )

    private fun onTables(state: TablesState) {
        val next = CapacityDuties(state, self.instance)
        duties = next
        shares.update(next.endpoints, next.instances)
        pledger.retain(next.instances.mapTo(HashSet()) { it.id })
        table.configure(next.accounts)
        summaries.keys.retainAll(next.endpoints.mapTo(HashSet()) { it.id })
        desk.drain()
    }

    private fun registerHandlers() {
        transport.register(HEARTBEAT, HEARTBEAT_ANSWER) { sender, heartbeat -> onHeartbeat(sender, heartbeat) }
        transport.register(LEASE_REQUEST, LEASE_REPLY) { sender, request -> desk.request(sender.life(), request) }
        transport.register(LEASE_RELEASE, LEASE_RELEASED) { _, release ->
            desk.release(release)
            LeaseReleased(release.lease)
        }
    }

    private fun onHeartbeat(sender: PeerIdentity, heartbeat: Heartbeat): HeartbeatAnswer =
        table.onHeartbeat(sender.life(), heartbeat).also { desk.drain() }

    private suspend fun beat(scope: CoroutineScope) {
        val wanted = duties.wanted.mapValues { (_, owner) ->
            if (placement == Placement.FIXED_SHARE) self.instance else owner
        }
        val sentAtMillis = clock.nowMillis()
        val heartbeats = pledger.heartbeats(wanted, shares.settled(), held.running { wanted[it] })
        heartbeats.forEach { (owner, heartbeat) ->
            if (owner == self.instance) {
                onAnswer(owner, sentAtMillis, onHeartbeat(self, heartbeat))
            } else {
                scope.launch { send(owner, sentAtMillis, heartbeat) }
            }
        }
        delay(times.heartbeatMillis)
    }

    private suspend fun send(owner: InstanceId, sentAtMillis: Long, heartbeat: Heartbeat) {
        transport.call(owner, HEARTBEAT.encode(heartbeat), HEARTBEAT_ANSWER, times.heartbeatMillis)
            .onSuccess { onAnswer(owner, sentAtMillis, it) }
    }

    private fun onAnswer(owner: InstanceId, sentAtMillis: Long, answer: HeartbeatAnswer) {
        pledger.onAnswer(owner, sentAtMillis, answer)
        answer.loads.filter { duties.owners[it.endpoint] == owner }.forEach { summaries[it.endpoint] = it }
    }

    private suspend fun sweep(scope: CoroutineScope) {
        table.sweep().filter { it.endpoint !in duties.plain }.forEach { orphan -> scope.launch { cancel(orphan) } }
        desk.drain()
        delay(SWEEP_MILLIS)
    }

    private suspend fun cancel(orphan: RunningLease) {
        val endpoint = duties.endpoints.firstOrNull { it.id == orphan.endpoint } ?: return
        val askedAtMillis = clock.nowMillis()
        log.log(Event.CANCEL_SENT, field("endpoint", endpoint.id), tokenField("lease", orphan.lease.value))
        if (!client.cancel(endpoint, orphan.lease)) return
        table.onCancelled(endpoint.id, orphan.lease, askedAtMillis)
        desk.drain()
    }
}

private fun PeerIdentity.life(): InstanceLife = InstanceLife(instance, startId)

private const val SWEEP_MILLIS: Long = 500
