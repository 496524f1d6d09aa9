/**
 * The controller of endpoint capacity: pledges, leases and load reports of one instance.
 *
 * With a pledge, an instance leaves its share of an endpoint's capacity to the owner of the endpoint, which grants
 * leases out of the shares that are pledged to it.
 */
package pistachiopass.entry.placement

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.capacity.CAPACITY_HEARTBEAT
import pistachiopass.capacity.CAPACITY_HEARTBEAT_REPLY
import pistachiopass.capacity.CapacityHeartbeat
import pistachiopass.capacity.CapacityHeartbeatReply
import pistachiopass.capacity.LEASE_RELEASE
import pistachiopass.capacity.LEASE_RELEASED
import pistachiopass.capacity.LEASE_REPLY
import pistachiopass.capacity.LEASE_REQUEST
import pistachiopass.capacity.LeaseReleased
import pistachiopass.capacity.LeaseTable
import pistachiopass.capacity.RunningLease
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.settings.Placement
import pistachiopass.model.InstanceId
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call
import pistachiopass.peer.register
import pistachiopass.tables.TablesState

/** Pledges this instance's shares, keeps the accounts of its endpoints, and answers requests of other instances. */
public class CapacityController(
    private val transport: PeerTransport,
    private val client: EndpointClient,
    private val tables: StateFlow<TablesState>,
    private val placement: Placement,
    metrics: Metrics,
    private val log: EventLog = EventLog,
) {
    private val self: PeerIdentity = transport.self

    /** The accounts, pledges and leases of this instance. */
    public val state: CapacityState = CapacityState(self, metrics, log)

    private val table: LeaseTable = state.table
    private val leaseService: LeaseService = state.leaseService

    internal val leases: LeaseClient = LeaseClient(transport, leaseService, state.held, state.clock)

    /** Registers the message handlers and starts the heartbeat and sweep loops, which end with [scope]. */
    public fun start(scope: CoroutineScope) {
        registerHandlers()
        scope.launch { tables.collect(state::onTables) }
        scope.launch { while (isActive) sendHeartbeats(scope) }
        scope.launch { while (isActive) sweep(scope) }
    }

    private fun registerHandlers() {
        transport.register(CAPACITY_HEARTBEAT, CAPACITY_HEARTBEAT_REPLY) { sender, heartbeat ->
            onHeartbeat(sender, heartbeat)
        }
        transport.register(LEASE_REQUEST, LEASE_REPLY) { sender, request ->
            leaseService.request(sender.toInstanceIncarnation(), request)
        }
        transport.register(LEASE_RELEASE, LEASE_RELEASED) { _, release ->
            leaseService.release(release)
            LeaseReleased(release.lease)
        }
    }

    private fun onHeartbeat(sender: PeerIdentity, heartbeat: CapacityHeartbeat): CapacityHeartbeatReply =
        table.onHeartbeat(sender.toInstanceIncarnation(), heartbeat).also { leaseService.drain() }

    private suspend fun sendHeartbeats(scope: CoroutineScope) {
        val pledgeTargets = state.capacityConfig.pledgeTargets.mapValues { (_, owner) ->
            if (placement == Placement.FIXED_SHARE) self.instance else owner
        }
        val sentAtMillis = state.clock.nowMillis()
        val heartbeats =
            state.pledger.heartbeats(pledgeTargets, state.shares.current(), state.held.running { pledgeTargets[it] })
        heartbeats.forEach { (owner, heartbeat) ->
            if (owner == self.instance) {
                onReply(owner, sentAtMillis, onHeartbeat(self, heartbeat))
            } else {
                scope.launch { send(owner, sentAtMillis, heartbeat) }
            }
        }
        delay(state.times.heartbeatMillis)
    }

    private suspend fun send(owner: InstanceId, sentAtMillis: Long, heartbeat: CapacityHeartbeat) {
        transport.call(
            owner,
            CAPACITY_HEARTBEAT.encode(heartbeat),
            CAPACITY_HEARTBEAT_REPLY,
            state.times.heartbeatMillis,
        ).onSuccess { onReply(owner, sentAtMillis, it) }
    }

    private fun onReply(owner: InstanceId, sentAtMillis: Long, reply: CapacityHeartbeatReply) {
        state.pledger.onReply(owner, sentAtMillis, reply)
        reply.loads.filter { state.capacityConfig.owners[it.endpoint] == owner }
            .forEach { state.summaries[it.endpoint] = it }
    }

    private suspend fun sweep(scope: CoroutineScope) {
        table.sweep().filter { it.endpoint !in state.capacityConfig.plainEndpoints }.forEach { orphan ->
            scope.launch { cancel(orphan) }
        }
        leaseService.drain()
        delay(SWEEP_MILLIS)
    }

    private suspend fun cancel(orphan: RunningLease) {
        val endpoint = state.capacityConfig.endpoints.firstOrNull { it.id == orphan.endpoint } ?: return
        val sentAtMillis = state.clock.nowMillis()
        log.log(Event.CANCEL_SENT, field("endpoint", endpoint.id), tokenField("lease", orphan.lease.value))
        if (!client.cancel(endpoint, orphan.lease)) return
        table.onCancelled(endpoint.id, orphan.lease, sentAtMillis)
        leaseService.drain()
    }
}

private const val SWEEP_MILLIS: Long = 500
