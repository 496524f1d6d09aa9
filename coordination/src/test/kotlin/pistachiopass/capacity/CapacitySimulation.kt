/**
 * A deterministic simulation of one data centre in virtual time: instances, engines, and a network that loses,
 * duplicates, delays and reorders messages. The seed determines a run. [Invariants] are checked after every tick.
 */
package pistachiopass.capacity

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import java.util.PriorityQueue
import kotlin.random.Random

/** A deliberate error in the code under test, which the invariants must detect. */
internal enum class Mutation {
    NONE,

    /** Owners count the validity of pledges from their arrival. */
    PLEDGES_FROM_ARRIVAL,

    /** Pledgers move a pledge to another owner before the earlier one has expired. */
    MOVES_AT_ONCE,

    /** Holders send requests without checking that their lease still permits it. */
    SENDS_WITHOUT_CHECK,

    /** Owners ignore requests under leases of other owners in load reports. */
    IGNORES_REPORTED_REQUESTS,

    /** Increased shares are pledged immediately, even by a process that has just started. */
    SHARES_UNSETTLED,

    /** Owners ignore that an engine reports itself cold. */
    IGNORES_COLD,

    /** Leases end only by a release; lost ones never end. */
    NEVER_ENDS_LOST_LEASES,
    ;

    val sendsWithoutCheck get() = this == SENDS_WITHOUT_CHECK
    val losesCancels get() = this == NEVER_ENDS_LOST_LEASES

    fun pledgerTimes(times: CapacityTimes) = if (this == MOVES_AT_ONCE) times.copy(pledgeMillis = 0) else times

    fun pledgeableShareTimes(times: CapacityTimes) =
        if (this == SHARES_UNSETTLED) times.copy(pledgeMillis = 0, tableLagMillis = 0, driftMillis = 0) else times

    fun received(heartbeat: CapacityHeartbeat, receiver: InstanceIncarnation, clock: LocalClock): CapacityHeartbeat {
        val fromArrival = this == PLEDGES_FROM_ARRIVAL && heartbeat.echoed?.startId == receiver.startId
        return if (fromArrival) heartbeat.copy(echoed = OwnerTime(receiver.startId, clock.nowMillis())) else heartbeat
    }

    fun read(report: EndpointReport): EndpointReport = when (this) {
        IGNORES_REPORTED_REQUESTS -> report.copy(requests = emptyList(), usedTokens = 0)
        IGNORES_COLD -> report.copy(cold = false)
        NEVER_ENDS_LOST_LEASES -> report.copy(usedTokens = 0, completedTokens = 0, requests = emptyList())
        else -> report
    }
}

/**
 * Delivers each message to the incarnation of the receiver that runs on its arrival, unless a partition separates them.
 */
internal class SimulatedNetwork(private val sim: CapacitySimulation, private val random: Random) {
    private val inFlight = PriorityQueue<Delivery>(compareBy<Delivery> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    var isFaulty = true
    var groupOf: (InstanceId) -> Int = { 0 }

    fun send(from: InstanceId, to: InstanceId, handle: SimulatedInstance.() -> Unit) {
        val copies = if (!isFaulty) 1 else random.nextInt(10).let { if (it == 0) 0 else if (it == 1) 2 else 1 }
        repeat(copies) {
            val longDelay = isFaulty && random.nextInt(20) == 0
            val delayMillis = if (longDelay) random.nextLong(12_000) else random.nextLong(1, 200)
            inFlight += Delivery(sim.nowMillis + delayMillis, order++, from, to, handle)
        }
    }

    fun deliver() {
        while (inFlight.isNotEmpty() && inFlight.peek().atMillis <= sim.nowMillis) {
            val message = inFlight.poll()
            val receiver = sim.instances[message.to] ?: continue
            when {
                groupOf(message.from) != groupOf(message.to) -> Unit
                receiver.pausedUntilMillis > sim.nowMillis ->
                    inFlight += Delivery(receiver.pausedUntilMillis, order++, message.from, message.to, message.handle)
                else -> message.handle(receiver)
            }
        }
    }

    private class Delivery(
        val atMillis: Long,
        val order: Long,
        val from: InstanceId,
        val to: InstanceId,
        val handle: SimulatedInstance.() -> Unit,
    )
}

internal class CapacitySimulation(seed: Int, val mutation: Mutation = Mutation.NONE, size: Int = 8) {
    val random = Random(seed)
    val times = CapacityTimes()
    val names = List(size) { InstanceId("i$it") }
    val endpoints = List(2) {
        Endpoint(
            EndpointId("e$it"),
            DataCentreId("d"),
            "127.0.0.1:1",
            budgetTokens = 80_000,
            slots = 16,
            coldBudgetTokens = 17_000,
            coldSlots = 5,
        )
    }
    val engines = endpoints.map(::SimulatedEngine)
    val network = SimulatedNetwork(this, random)
    val instances = HashMap<InstanceId, SimulatedInstance>()
    private val arrivals = ArrayList<Pair<Long, () -> Unit>>()
    private val supersededInstances = ArrayList<SimulatedInstance>()
    private var published = names.map(::published)
    private var version = 1
    private val invariants = Invariants(this)
    var nowMillis = 0L
        private set
    var sendsRequests = true

    init {
        names.forEach(::start)
    }

    val allTables get() = (instances.values + supersededInstances).map { it.table }

    fun start(name: InstanceId) {
        instances[name]?.let { supersededInstances += it }
        instances[name] = SimulatedInstance(name, this, random).also { it.onPublished(version, published) }
    }

    /** Publishes an instance list, which each instance receives within the table lag. */
    fun publish(members: Collection<InstanceId>) {
        published = members.map(::published)
        val list = published
        val listVersion = ++version
        names.forEach { name ->
            at(
                nowMillis + random.nextLong(times.tableLagMillis - TICK_MILLIS)
            ) { instances[name]?.onPublished(listVersion, list) }
        }
    }

    fun sendToEngine(endpoint: EndpointId, lease: RequestId, needed: Capacity, runMillis: Long) {
        val sentAt = nowMillis
        at(nowMillis + random.nextLong(times.inFlightMillis - TICK_MILLIS)) {
            val heldTokens = needed.tokens / 2 + random.nextLong(needed.tokens / 2)
            engines.first { it.endpoint.id == endpoint }.requests[lease] =
                EngineRequest(needed, heldTokens, nowMillis + runMillis, sentAt)
        }
    }

    fun at(millis: Long, action: () -> Unit) {
        arrivals += millis to action
    }

    /** Runs for [millis] of virtual time and returns the first violated invariant, or null. */
    fun run(millis: Long, eachTick: () -> Unit = {}): String? {
        val untilMillis = nowMillis + millis
        while (nowMillis < untilMillis) {
            nowMillis += TICK_MILLIS
            (instances.values + supersededInstances).forEach { it.advanceClock() }
            eachTick()
            val due = arrivals.filter { it.first <= nowMillis }
            arrivals.removeAll(due)
            due.forEach { it.second() }
            engines.forEach { it.step(nowMillis) }
            network.deliver()
            instances.values.filter { it.pausedUntilMillis <= nowMillis }.forEach { it.step() }
            invariants.violationOrNull()?.let { return "at $nowMillis ms: $it" }
        }
        return null
    }

    private fun published(name: InstanceId) = Instance(name, DataCentreId("d"), "", "")
}

/** The invariants that must hold after every tick. */
internal class Invariants(private val sim: CapacitySimulation) {
    fun violationOrNull(): String? = sim.engines.firstNotNullOfOrNull { overrunOrNull(it) ?: coldOverrunOrNull(it) }
        ?: sim.endpoints.firstNotNullOfOrNull(::doublePledgeOrNull)

    private fun overrunOrNull(engine: SimulatedEngine): String? {
        val unsent = sim.instances.values.flatMap { it.maySend(engine.endpoint.id) }.map { it.needed }
        val held = (engine.requests.values.map { it.reserved } + unsent).fold(Capacity.NONE, Capacity::plus)
        val budget = engine.endpoint.budget.warm
        return if (budget.covers(held)) null else "${engine.endpoint.id} may hold $held of $budget"
    }

    /** Requests that were sent before the owners could know of the cold start do not count. */
    private fun coldOverrunOrNull(engine: SimulatedEngine): String? {
        val since = engine.coldSinceMillis ?: return null
        val knownAt = if (since == 0L) 0 else since + DETECTION_MILLIS
        val held = engine.requests.values.filter { it.sentAtMillis >= knownAt }
            .fold(Capacity.NONE) { sum, request -> sum + request.reserved }
        val limit = engine.endpoint.budget.cold
        return if (limit.covers(held)) null else "cold ${engine.endpoint.id} holds $held of $limit"
    }

    private fun doublePledgeOrNull(endpoint: Endpoint): String? {
        val pledgers = sim.allTables.flatMap { table ->
            table.accounts().first { it.config.endpoint.id == endpoint.id }.pledged.keys
        }
        val doubled = pledgers.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        return if (doubled.isEmpty()) null else "pledges of $doubled on ${endpoint.id} are held twice"
    }
}

/** Time until owners know of a cold start: report lag, poll interval and send window, or the report timeout. */
private const val DETECTION_MILLIS = 4_600L
