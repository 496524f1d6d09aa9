/**
 * An instance of the simulation: [Pledger], [PledgeableShares], [LeaseTable] and [HeldLeases] of one incarnation, on a
 * clock that drifts.
 */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import pistachiopass.peer.startIdOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.TestTimeSource

/** A lease whose request waits to be sent or is running. */
internal class SimulatedRequest(val lease: HeldLease, val needed: Capacity, val sendAtMillis: Long) {
    var endsAtMillis: Long? = null
}

internal class SimulatedInstance(val id: InstanceId, private val sim: CapacitySimulation, private val random: Random) {
    private val source = TestTimeSource()
    private val rate = 1.0 + random.nextDouble(-MAX_DRIFT, MAX_DRIFT)
    private val clock = LocalClock(source)
    val incarnation = InstanceIncarnation(id, startIdOf(sim.nowMillis, random))
    private val times = sim.times
    private val pledger = Pledger(id, sim.mutation.pledgerTimes(times), clock)
    private val shares = PledgeableShares(id, sim.mutation.pledgeableShareTimes(times), clock)
    val table = leaseTableOf(incarnation, times, clock)
    private val held = HeldLeases(pledger, clock)
    val requests = ArrayList<SimulatedRequest>()
    private var list: List<Instance> = emptyList()
    private var listVersion = 0
    private var nextHeartbeatMillis = 0L
    private var nextPollMillis = 0L
    var pausedUntilMillis = 0L

    fun advanceClock() {
        source += (TICK_MILLIS * 1_000 * rate).toLong().microseconds
    }

    /** Applies a published instance list unless a newer one is known. */
    fun onPublished(version: Int, published: List<Instance>) {
        if (version < listVersion) return
        listVersion = version
        list = published
        shares.update(sim.endpoints, list)
        table.configure(
            sim.endpoints.map {
                AccountConfig(it, list.sharesOf(it), isOpen = true, isOwned = list.ownerOrNull(it) == id)
            },
        )
    }

    /** Performs the actions that are due; not called while the instance is paused. */
    fun step() {
        if (clock.nowMillis() >= nextHeartbeatMillis) sendHeartbeats()
        if (clock.nowMillis() >= nextPollMillis) poll()
        table.sweep().forEach(::cancel)
        requests.toList().forEach(::advance)
        if (sim.sendsRequests && random.nextInt(MEAN_STEPS_BETWEEN_REQUESTS) == 0) requestLease()
    }

    fun receiveHeartbeat(from: InstanceIncarnation, heartbeat: CapacityHeartbeat, sentAtMillis: Long) {
        val reply = table.onHeartbeat(from, sim.mutation.received(heartbeat, incarnation, clock))
        val owner = id
        sim.network.send(owner, from.instance) { onReply(owner, from, sentAtMillis, reply) }
    }

    private fun onReply(
        owner: InstanceId,
        sender: InstanceIncarnation,
        sentAtMillis: Long,
        reply: CapacityHeartbeatReply
    ) {
        if (incarnation == sender) pledger.onReply(owner, sentAtMillis, reply)
    }

    private fun sendHeartbeats() {
        nextHeartbeatMillis = clock.nowMillis() + times.heartbeatMillis
        val publishedOwners = sim.endpoints.mapNotNull { e -> list.ownerOrNull(e)?.let { e.id to it } }.toMap()
        val running = held.running { publishedOwners[it] }
        val sentAt = clock.nowMillis()
        pledger.heartbeats(publishedOwners, shares.current(), running).forEach { (owner, heartbeat) ->
            if (owner == id) {
                pledger.onReply(id, sentAt, table.onHeartbeat(incarnation, heartbeat))
            } else {
                sim.network.send(id, owner) { receiveHeartbeat(this@SimulatedInstance.incarnation, heartbeat, sentAt) }
            }
        }
    }

    private fun poll() {
        nextPollMillis = clock.nowMillis() + POLL_MILLIS
        for (engine in sim.engines) {
            val (ageMillis, report) = engine.delayedReportOrNull(sim.nowMillis) ?: continue
            val takenAtMillis = clock.nowMillis() - (ageMillis * (1 + MAX_DRIFT)).toLong() - 1
            table.onReport(engine.endpoint.id, sim.mutation.read(report).copy(takenAtMillis = takenAtMillis))
        }
    }

    private fun requestLease() {
        val endpoint = sim.endpoints.random(random)
        val owner = pledger.pledgedToOrNull(endpoint.id) ?: return
        val needed = Capacity(if (random.nextInt(3) == 0) random.nextLong(5_000, 40_000) else 2_000, 1)
        val request = LeaseRequest(
            RequestId("r"),
            endpoint.id,
            needed,
            WorkspaceId("w"),
            needed.tokens,
            remainingMillis = MAX_RUN_MILLIS,
        )
        val requestSentAt = clock.nowMillis()
        if (owner == id) {
            onReply(owner, endpoint, needed, requestSentAt, table.request(incarnation, request))
        } else {
            val sender = incarnation
            call(owner, { table.request(sender, request) }) { onReply(owner, endpoint, needed, requestSentAt, it) }
        }
    }

    /** Calls another instance; only the first of duplicate responses counts, as in a transport with call ids. */
    private fun <T> call(to: InstanceId, handle: SimulatedInstance.() -> T, onResponse: (T) -> Unit) {
        val caller = incarnation
        var isAnswered = false
        sim.network.send(id, to) {
            val response = handle()
            sim.network.send(to, caller.instance) {
                if (incarnation == caller && !isAnswered) onResponse(response)
                isAnswered = true
            }
        }
    }

    private fun onReply(
        owner: InstanceId,
        endpoint: Endpoint,
        needed: Capacity,
        requestSentAt: Long,
        reply: LeaseReply,
    ) {
        val grant = reply.grant ?: return
        val sendAt = clock.nowMillis() + if (random.nextBoolean()) random.nextLong(8_000) else 0
        requests += SimulatedRequest(held.add(owner, endpoint.id, grant, requestSentAt), needed, sendAt)
    }

    private fun advance(request: SimulatedRequest) {
        val endsAt = request.endsAtMillis
        when {
            endsAt != null -> if (clock.nowMillis() >= endsAt) release(request, LeaseEnd.UNCONFIRMED)
            clock.nowMillis() < request.sendAtMillis -> Unit
            sim.mutation.sendsWithoutCheck || request.lease.maySend() -> send(request)
            else -> release(request, LeaseEnd.FREED)
        }
    }

    private fun send(request: SimulatedRequest) {
        val runMillis = random.nextLong(500, MAX_RUN_MILLIS / 2)
        request.endsAtMillis = clock.nowMillis() + runMillis
        sim.sendToEngine(request.lease.endpoint, request.lease.id, request.needed, runMillis)
    }

    private fun release(request: SimulatedRequest, end: LeaseEnd) {
        requests -= request
        held.remove(request.lease)
        val release = LeaseRelease(request.lease.endpoint, request.lease.id, end)
        if (request.lease.owner == id) {
            table.release(release)
        } else {
            sim.network.send(id, request.lease.owner) { table.release(release) }
        }
    }

    private fun cancel(orphan: RunningLease) {
        if (sim.mutation.losesCancels || random.nextInt(3) == 0) return
        sim.engines.first { it.endpoint.id == orphan.endpoint }.requests.remove(orphan.lease)
        table.onCancelled(orphan.endpoint, orphan.lease, clock.nowMillis())
    }

    fun maySend(endpoint: EndpointId): List<SimulatedRequest> =
        requests.filter { it.endsAtMillis == null && it.lease.endpoint == endpoint && it.lease.maySend() }
}

internal const val MAX_RUN_MILLIS = 20_000L
private const val MAX_DRIFT = 0.01
private const val POLL_MILLIS = 300L
private const val MEAN_STEPS_BETWEEN_REQUESTS = 2
