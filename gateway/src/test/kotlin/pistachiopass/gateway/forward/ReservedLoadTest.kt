/**
 * Simulates in virtual time instances that share 20 engines of the first deployment, with long prompts whose memory is
 * reserved and short prompts beside them.
 *
 * Guards against wasted reservations and against memory that stays reserved. The simulated engines have memory and no
 * compute: a request takes its forecast time, more or less.
 */
package pistachiopass.gateway.forward

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.EndpointOrders
import pistachiopass.gateway.OrderOutcome
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.Candidates
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.FIRST_DEPLOYMENT
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.placement.Placement
import pistachiopass.gateway.placement.PlacementRequest
import pistachiopass.gateway.placement.RemoteWorkId
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.gateway.placement.enginesOf
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.serviceOf
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.membership.MemberHost
import pistachiopass.model.RequestId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Long prompts per second; [unansweredShare] of the orders get no answer and take effect later. */
private data class LoadCase(
    val longPerSecond: Double,
    val unansweredShare: Double,
    val seed: Int,
    val hasSpares: Boolean = true,
)

/** A reservation at one engine, with the times at which it was made, its request began and ended, and it was free. */
private class HeldMemory(val tokens: Long, val madeMillis: Long) {
    var expiresMillis = 0L
    var usedMillis: Long? = null
    var endedMillis: Long? = null
}

/** The memory of engines by host. */
private class EngineMemories(
    private val test: TestScope,
    private val random: Random,
    private val unansweredShare: Double,
) : EndpointOrders {
    private val held = HashMap<Pair<String, String>, HeldMemory>()
    private val contextTokens = HashMap<String, Long>()
    var made = 0
    var wasted = 0
    var refused = 0
    var longestUnusedMillis = 0L
    var longestFreeMillis = 0L

    fun isEmpty(): Boolean = held.isEmpty()

    /** Removes expired reservations; the simulation calls this at short intervals. */
    fun expire() {
        held.filterValues { it.expiresMillis <= test.currentTime }.keys.toList().forEach(::free)
    }

    fun addContext(host: String, tokens: Long) {
        contextTokens.merge(host, tokens, Long::plus)
    }

    fun begin(host: String, id: String) {
        held.getValue(host to id).usedMillis = test.currentTime
    }

    fun end(id: String): Unit = held.filterKeys { it.second == id }.values.forEach { it.endedMillis = test.currentTime }

    override suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome {
        val isUnanswered = random.nextDouble() < unansweredShare
        if (isUnanswered) {
            test.backgroundScope.launch {
                delay(random.nextLong(LATE_ORDER_MAX_MILLIS))
                carryOut(address.host, reservation, tokens, holdMillis)
            }
            delay(ORDER_TIMEOUT_MILLIS)
            return OrderOutcome.UNKNOWN
        }
        delay(random.nextLong(1, ORDER_MAX_MILLIS))
        return carryOut(address.host, reservation, tokens, holdMillis)
    }

    private fun carryOut(host: String, id: String, tokens: Long, holdMillis: Long): OrderOutcome {
        val known = held[host to id]
        if (known == null) {
            val reserved = held.filterKeys { it.first == host }.values
            val used = reserved.sumOf { it.tokens } + (contextTokens[host] ?: 0)
            if (reserved.size >= RESERVATIONS_MAX || used + tokens > FIRST_DEPLOYMENT.memoryTokens) {
                refused++
                return OrderOutcome.REFUSED
            }
            made++
        }
        val memory = known ?: HeldMemory(tokens, test.currentTime).also { held[host to id] = it }
        memory.expiresMillis = test.currentTime + holdMillis
        return OrderOutcome.DONE
    }

    override suspend fun release(address: Address, reservation: String): OrderOutcome {
        delay(random.nextLong(1, ORDER_MAX_MILLIS))
        free(address.host to reservation)
        return OrderOutcome.DONE
    }

    private fun free(key: Pair<String, String>) {
        val memory = held.remove(key) ?: return
        if (memory.usedMillis == null) wasted++
        longestUnusedMillis = maxOf(longestUnusedMillis, (memory.usedMillis ?: test.currentTime) - memory.madeMillis)
        memory.endedMillis?.let { longestFreeMillis = maxOf(longestFreeMillis, test.currentTime - it) }
    }
}

/** One instance: its placement, its view of the load and its reservations. */
private class SimulatedInstance(test: TestScope, memories: EngineMemories) {
    val load = FleetLoad { test.currentTime }
    val placement = Placement(load, EndpointHealth({ test.currentTime }) { _, _, _ -> }) { test.currentTime }
    val reservations =
        Reservations(memories, { HOLD_MILLIS }, test.backgroundScope) { test.currentTime }
}

@OptIn(ExperimentalCoroutinesApi::class)
private class LoadSimulation(private val test: TestScope, private val case: LoadCase) {
    private val random = Random(case.seed)
    val memories = EngineMemories(test, random, case.unansweredShare)
    private val engines = enginesOf(ENGINES)
    private val instances = List(INSTANCES) { SimulatedInstance(test, memories) }
    private var sequence = 0
    var reservedPrompts = 0
    var refusedPrompts = 0

    suspend fun run() {
        arrive(SHORT_PER_SECOND, targetLatencyMillis = 259, gapTargetMillis = 250) { SHORT_TOKENS }
        arrive(case.longPerSecond, targetLatencyMillis = 6_024, gapTargetMillis = 1_000) {
            val deviation = random.asJavaRandom().nextGaussian() * LOG_SIZE_DEVIATION
            (LONG_MEAN_TOKENS * exp(deviation - LOG_SIZE_DEVIATION * LOG_SIZE_DEVIATION / 2)).toLong()
                .coerceIn(1_000, LONG_MAX_TOKENS)
        }
        while (test.currentTime < PHASE_MILLIS + SETTLE_MILLIS) {
            delay(EXPIRY_STEP_MILLIS)
            memories.expire()
        }
    }

    private fun arrive(perSecond: Double, targetLatencyMillis: Long, gapTargetMillis: Long, tokensOf: () -> Long) {
        val route = routeOf("/$targetLatencyMillis/", targetLatencyMillis, gapTargetMillis)
        test.backgroundScope.launch {
            while (test.currentTime < PHASE_MILLIS) {
                delay((-ln(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND).toLong())
                val counts = TokenCounts(tokensOf(), ANSWER_TOKENS, ANSWER_TOKENS)
                val request = PlacementRequest(route, serviceOf(FIRST_DEPLOYMENT), counts, 0, emptySet())
                launch { serve(instances.random(random), request) }
            }
        }
    }

    private suspend fun serve(instance: SimulatedInstance, request: PlacementRequest) {
        repeat(if (case.hasSpares) 1 else ATTEMPTS_MAX) {
            val assignment = instance.placement.chooseOrNull(request, Candidates(engines, emptyList(), engines))
            val placed = HashMap<KnownEndpoint, PlacedWork>()
            val isServed = when {
                assignment == null -> false
                assignment.reservedTokens == 0L -> true.also { runAlone(instance, assignment, placed) }
                else -> runReserved(instance, assignment, placed)
            }
            placed.values.forEach(instance.load::end)
            announce(instance) { load -> placed.values.forEach { load.endRemote(RemoteWorkId(HOST, it.id)) } }
            if (isServed) return
        }
        refusedPrompts++
    }

    /** Updates the load as seen by all instances but [instance], a little later. */
    private fun announce(instance: SimulatedInstance, update: (FleetLoad) -> Unit) {
        test.backgroundScope.launch {
            delay(ANNOUNCEMENT_MILLIS)
            (instances - instance).forEach { update(it.load) }
        }
    }

    private suspend fun runAlone(
        instance: SimulatedInstance,
        assignment: Assignment,
        placed: HashMap<KnownEndpoint, PlacedWork>,
    ) {
        val observer = observerOf(instance, placed)
        assignment.engines.zip(assignment.estimates) { engine, estimate ->
            observer.onAsked(engine, estimate)
            observer.onGranted(engine, estimate)
            memories.addContext(engine.published.address.host, estimate.contextTokens)
        }
        runFor(instance, assignment, placed)
        assignment.engines.zip(assignment.estimates) { engine, estimate ->
            memories.addContext(engine.published.address.host, -estimate.contextTokens)
        }
    }

    private suspend fun runReserved(
        instance: SimulatedInstance,
        requested: Assignment,
        placed: HashMap<KnownEndpoint, PlacedWork>,
    ): Boolean {
        val asked = if (case.hasSpares) requested else withoutSpares(requested)
        reservedPrompts++
        val reservation = instance.reservations
            .reserveOrNull(RequestId("r${sequence++}"), asked, ALLOWED_MILLIS, observerOf(instance, placed))
            ?: return false
        reservation.assignment.engines.forEach { memories.begin(it.published.address.host, reservation.id) }
        assertEquals(reservation.assignment.engines.toSet(), placed.keys)
        runFor(instance, reservation.assignment, placed)
        memories.end(reservation.id)
        reservation.release()
        return true
    }

    private fun withoutSpares(assignment: Assignment): Assignment = Assignment(
        assignment.endpoint,
        assignment.helpers,
        assignment.forecastMillis,
        assignment.estimates,
        assignment.reservedTokens,
    )

    /** Lasts for the forecast time of [assignment], or up to half longer. */
    private suspend fun runFor(
        instance: SimulatedInstance,
        assignment: Assignment,
        placed: Map<KnownEndpoint, PlacedWork>,
    ) {
        val factor = random.nextDouble(FACTOR_MIN, FACTOR_MAX)
        delay((assignment.forecastMillis * factor).toLong())
        placed.values.forEach { instance.load.prefillEnded(it) }
        delay((assignment.estimates.first().decodeMillis * factor).toLong())
    }

    private fun observerOf(instance: SimulatedInstance, placed: HashMap<KnownEndpoint, PlacedWork>) =
        object : ReservationObserver {
            override fun onAsked(engine: KnownEndpoint, estimate: WorkEstimate) {
                placed[engine] = instance.load.add(estimate)
            }

            override fun onGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
                val id = RemoteWorkId(HOST, placed.getValue(engine).id)
                announce(instance) { it.addRemote(id, estimate) }
            }

            override fun onNotGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
                placed.remove(engine)?.let(instance.load::end)
            }

            override fun onEnded(outcome: ReservingOutcome) = Unit
        }
}

@OptIn(ExperimentalCoroutinesApi::class)
class ReservedLoadTest {
    @TestFactory
    fun `few reservations are wasted and none outlasts its request`(): List<DynamicTest> = casesOf(
        listOf(1.0, 2.5).flatMap { longPerSecond ->
            listOf(0.0, 0.01).flatMap { unanswered -> (21..24).map { LoadCase(longPerSecond, unanswered, seed = it) } }
        },
    ) { case ->
        val simulation = simulationOf(case)
        val memories = simulation.memories
        assertTrue(simulation.reservedPrompts >= PROMPTS_MIN, "only ${simulation.reservedPrompts} reserved prompts")
        assertTrue(
            memories.wasted * 100 < memories.made * WASTED_PERCENT_MAX,
            "wasted ${memories.wasted} of ${memories.made}",
        )
        assertTrue(memories.longestFreeMillis <= FREE_MILLIS, "free after ${memories.longestFreeMillis} ms")
        assertTrue(memories.longestUnusedMillis < IDLE_MAX_MILLIS, "unused for ${memories.longestUnusedMillis} ms")
        assertTrue(memories.isEmpty(), "memory is reserved after the end")
    }

    @TestFactory
    fun `on the same load starting over wastes more than the limit`(): List<DynamicTest> =
        casesOf(listOf(LoadCase(longPerSecond = 2.5, unansweredShare = 0.01, seed = 24, hasSpares = false))) { case ->
            val memories = simulationOf(case).memories
            assertTrue(memories.wasted * 100 > memories.made * WASTED_PERCENT_MAX, "the load has no shortage of memory")
        }

    private fun simulationOf(case: LoadCase): LoadSimulation {
        lateinit var simulation: LoadSimulation
        runTest {
            simulation = LoadSimulation(this, case)
            simulation.run()
        }
        val memories = simulation.memories
        println(
            "$case: prompts ${simulation.reservedPrompts}, requests refused ${simulation.refusedPrompts}, " +
                "reservations ${memories.made}, wasted ${memories.wasted}, refused ${memories.refused}, " +
                "free after ${memories.longestFreeMillis} ms, unused for ${memories.longestUnusedMillis} ms",
        )
        return simulation
    }
}

private const val WASTED_PERCENT_MAX = 10
private const val FREE_MILLIS = 4_000.0
private const val IDLE_MAX_MILLIS = 9_000L
private const val HOLD_MAX_MILLIS = 20_000.0
private val HOLD_MILLIS = holdMillisOf(FREE_MILLIS, HOLD_MAX_MILLIS)
private const val RESERVATIONS_MAX = 64
private const val ENGINES = 20
private const val INSTANCES = 4
private const val PROMPTS_MIN = 10
private const val SHORT_PER_SECOND = 23.3
private const val SHORT_TOKENS = 4_960L
private const val LONG_MEAN_TOKENS = 190_000.0
private const val LONG_MAX_TOKENS = 600_000L
private const val LOG_SIZE_DEVIATION = 0.6
private const val ANSWER_TOKENS = 480L
private const val ALLOWED_MILLIS = 1_800L
private const val ATTEMPTS_MAX = 4
private const val ORDER_MAX_MILLIS = 60L
private const val ORDER_TIMEOUT_MILLIS = 500L
private const val LATE_ORDER_MAX_MILLIS = 6_000L
private const val ANNOUNCEMENT_MILLIS = 20L
private const val FACTOR_MIN = 0.9
private const val FACTOR_MAX = 1.5
private const val PHASE_MILLIS = 60_000L
private const val SETTLE_MILLIS = 40_000L
private const val EXPIRY_STEP_MILLIS = 20L
private const val MILLIS_PER_SECOND = 1_000.0

/** Ids of work begin at random, so those of several simulated instances do not collide under one address. */
private val HOST = MemberHost("10.0.0.1")
