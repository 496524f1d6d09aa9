/**
 * Tests in virtual time that memory is reserved at the engines that grant it, stays reserved while its request lasts,
 * and is released in time afterwards.
 *
 * The limit of the deployments is 4 s after the end of the request, even if the instance is killed, a renewal takes
 * effect late or a release is lost.
 */
package pistachiopass.gateway.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
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
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.SpareEngine
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.gateway.placement.enginesOf
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.RequestId
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** The fault that is injected when the request ends. */
private enum class Fault { NONE, INSTANCE_KILLED, LAST_RENEWAL_LATE, RELEASE_LOST }

private data class ReservationCase(val fault: Fault, val requestMillis: Long)

/** The memory of an engine: reservations with their expiry times. */
private class SimulatedEngineMemory(private val test: TestScope) : EndpointOrders {
    private val expiresMillis = HashMap<String, Long>()
    private val lateOrders = ArrayList<Pair<Long, () -> Unit>>()
    var fault: Fault = Fault.NONE
    var lostReleases: Int = 0

    fun isHeld(): Boolean {
        lateOrders.filter { it.first <= test.currentTime }.forEach { (_, carryOut) -> carryOut() }
        lateOrders.removeIf { it.first <= test.currentTime }
        return expiresMillis.values.any { it > test.currentTime }
    }

    override suspend fun reserve(
        address: Address,
        reservation: String,
        tokens: Long,
        holdMillis: Long,
    ): OrderOutcome {
        if (fault == Fault.LAST_RENEWAL_LATE) {
            lateOrders += test.currentTime + LATE_ORDER_MILLIS to
                { expiresMillis[reservation] = test.currentTime + holdMillis }
            delay(ORDER_TIMEOUT_MILLIS)
            return OrderOutcome.UNKNOWN
        }
        expiresMillis[reservation] = test.currentTime + holdMillis
        return OrderOutcome.DONE
    }

    override suspend fun release(address: Address, reservation: String): OrderOutcome {
        if (lostReleases-- > 0) {
            delay(ORDER_TIMEOUT_MILLIS)
            return OrderOutcome.UNKNOWN
        }
        expiresMillis.remove(reservation)
        return OrderOutcome.DONE
    }
}

/** How an engine answers to a reservation; a [LATE] one takes effect after the time-out of the order. */
private enum class Answer(val outcome: OrderOutcome) {
    GRANT(OrderOutcome.DONE),
    REFUSE(OrderOutcome.REFUSED),
    WAIT(OrderOutcome.WAITING),
    LATE(OrderOutcome.UNKNOWN),
    NONE(OrderOutcome.UNKNOWN),
}

/** A reservation at e1, e2 and e3 with e4 and e5 as spare ones; [engines] is null if it is not made. */
private data class ReservingCase(
    val name: String,
    val answers: Map<String, Answer>,
    val engines: List<String>?,
    val refused: Int = 0,
    val unanswered: Int = 0,
    val replaced: Int = 0,
    val allowedMillis: Long = ALLOWED_MILLIS,
    val leavesMillis: Long? = null,
    val endingEngine: String? = null,
) {
    val outcome: ReservingOutcome =
        ReservingOutcome(engines != null, asked = 3 + replaced, refused, unanswered, replaced, totalMillis = 0)

    override fun toString(): String = name
}

/** Engines that answer to reservations by [answers], the others grant them; they hold the memory by host. */
private class ScriptedEngines(private val test: TestScope, private val answers: Map<String, Answer>) : EndpointOrders {
    private val expiresMillis = HashMap<String, Long>()
    private val ended = HashSet<String>()

    fun held(): Set<String> = expiresMillis.filterValues { it > test.currentTime }.keys

    fun end(host: String) {
        ended += host
        expiresMillis.remove(host)
    }

    override suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome {
        val answer = if (address.host in ended) Answer.NONE else answers[address.host] ?: Answer.GRANT
        if (answer == Answer.GRANT || answer == Answer.WAIT) hold(address.host, holdMillis)
        if (answer == Answer.LATE) takeEffectLate(address.host, holdMillis)
        if (answer == Answer.LATE || answer == Answer.NONE) delay(ORDER_TIMEOUT_MILLIS)
        return answer.outcome
    }

    private fun hold(host: String, holdMillis: Long) {
        expiresMillis[host] = test.currentTime + holdMillis
    }

    private fun takeEffectLate(host: String, holdMillis: Long) {
        test.backgroundScope.launch {
            delay(LATE_ORDER_MILLIS)
            hold(host, holdMillis)
        }
    }

    override suspend fun release(address: Address, reservation: String): OrderOutcome {
        if (address.host in ended) return OrderOutcome.UNKNOWN
        expiresMillis.remove(address.host)
        return OrderOutcome.DONE
    }
}

/** Records the engines that were asked, without those that did not grant the memory, and those that did. */
private class RecordingObserver : ReservationObserver {
    val asked = HashSet<String>()
    val granted = HashSet<String>()
    val outcomes = ArrayList<ReservingOutcome>()

    override fun onAsked(engine: KnownEndpoint, estimate: WorkEstimate) {
        asked += engine.id.value
    }

    override fun onGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
        granted += engine.id.value
    }

    override fun onNotGranted(engine: KnownEndpoint, estimate: WorkEstimate) {
        assertTrue(asked.remove(engine.id.value) && engine.id.value !in granted)
    }

    override fun onEnded(outcome: ReservingOutcome) {
        outcomes += outcome.copy(totalMillis = 0)
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
class ReservationsTest {
    @TestFactory
    fun `memory is reserved while the request lasts and released in time afterwards`(): List<DynamicTest> = casesOf(
        Fault.entries.flatMap { fault -> listOf(500L, 3_000L, 12_000L).map { ReservationCase(fault, it) } },
    ) { case ->
        runTest {
            val memory = SimulatedEngineMemory(this)
            val instance = CoroutineScope(coroutineContext + Job())
            val reservation = assertNotNull(reserveOrNull(memory, instance, assignmentOf(engines = 1, spares = 0)))
            repeat((case.requestMillis / STEP_MILLIS).toInt()) {
                assertTrue(memory.isHeld(), "memory is not reserved at $currentTime ms")
                delay(STEP_MILLIS)
            }
            endRequest(case.fault, memory, instance, reservation)
            assertReleasedInTime(memory::isHeld)
            instance.cancel()
        }
    }

    @TestFactory
    fun `engines that do not grant memory are replaced and the others keep theirs`(): List<DynamicTest> = casesOf(
        RESERVING_CASES,
    ) { case ->
        runTest {
            val engines = ScriptedEngines(this, case.answers)
            val observer = RecordingObserver()
            val instance = CoroutineScope(coroutineContext + Job())
            val requested = assignmentOf(engines = 3, spares = 2)
            var reservation: Reservations.Reservation? = null
            val reserving = launch {
                reservation = reserveOrNull(engines, instance, requested, case.allowedMillis, observer)
            }
            case.leavesMillis?.let { delay(it) }?.also { reserving.cancel() }
            reserving.join()
            assertEquals(listOf(case.outcome), observer.outcomes)
            assertEquals(case.engines, reservation?.assignment?.engines?.map { it.id.value })
            assertEquals(case.engines?.toSet(), observer.granted.takeIf { reservation != null })
            assertEquals(
                reservation?.assignment?.engines?.map { it.published.incarnation },
                reservation?.assignment?.estimates?.map { it.endpoint },
            )
            if (reservation != null) {
                case.endingEngine?.let(engines::end)
                delay(REQUEST_MILLIS)
                assertTrue(engines.held().containsAll(case.engines.orEmpty() - setOfNotNull(case.endingEngine)))
            }
            reservation?.release()
            assertReleasedInTime { engines.held().isNotEmpty() }
            instance.cancel()
        }
    }

    private suspend fun TestScope.reserveOrNull(
        orders: EndpointOrders,
        instance: CoroutineScope,
        assignment: Assignment,
        allowedMillis: Long = ALLOWED_MILLIS,
        observer: ReservationObserver = RecordingObserver(),
    ): Reservations.Reservation? {
        val holdMillis = holdMillisOf(FREE_MILLIS, HOLD_MAX_MILLIS)
        return Reservations(orders, { holdMillis }, instance) { currentTime }
            .reserveOrNull(RequestId("r"), assignment, allowedMillis, observer)
    }

    private suspend fun endRequest(
        fault: Fault,
        memory: SimulatedEngineMemory,
        instance: CoroutineScope,
        reservation: Reservations.Reservation,
    ) {
        memory.fault = fault
        when (fault) {
            Fault.INSTANCE_KILLED -> instance.cancel()
            Fault.RELEASE_LOST -> {
                memory.lostReleases = 1
                reservation.release()
            }
            Fault.LAST_RENEWAL_LATE -> {
                delay(RENEWAL_MILLIS)
                reservation.release()
            }
            Fault.NONE -> reservation.release()
        }
    }

    /** After the limit, memory may still be held for less than 2 s at a time; longer stretches count as leaks. */
    private suspend fun TestScope.assertReleasedInTime(isHeld: () -> Boolean) {
        val endedMillis = currentTime
        var heldSinceMillis: Long? = null
        while (currentTime < endedMillis + WATCHED_MILLIS) {
            delay(STEP_MILLIS)
            heldSinceMillis = if (isHeld()) heldSinceMillis ?: currentTime else null
            val isLeak = heldSinceMillis != null &&
                currentTime - endedMillis > FREE_MILLIS && currentTime - heldSinceMillis >= LEAK_MILLIS
            assertTrue(!isLeak, "reserved since $heldSinceMillis ms, but the request ended at $endedMillis ms")
        }
    }

    private fun assignmentOf(engines: Int, spares: Int): Assignment {
        val endpoints = enginesOf(engines + spares)
        val used = endpoints.take(engines)
        val estimates = used.map { WorkEstimate(it.published.incarnation, 100.0, 0.0, RESERVED_TOKENS, 0) }
        val others = endpoints.drop(engines).map { SpareEngine(it, forecastMillis = 0.0) }
        return Assignment(used[0], used.drop(1), forecastMillis = 0.0, estimates, RESERVED_TOKENS, others)
    }
}

private fun refusing(vararg engines: String): Map<String, Answer> = engines.associateWith { Answer.REFUSE }

private val RESERVING_CASES = listOf(
    ReservingCase("all grant", emptyMap(), listOf("e1", "e2", "e3")),
    ReservingCase(
        "one refuses",
        mapOf("e2" to Answer.REFUSE),
        listOf("e1", "e4", "e3"),
        refused = 1,
        replaced = 1,
    ),
    ReservingCase(
        "the first refuses",
        mapOf("e1" to Answer.REFUSE),
        listOf("e4", "e2", "e3"),
        refused = 1,
        replaced = 1,
    ),
    ReservingCase("two refuse", refusing("e1", "e3"), listOf("e4", "e2", "e5"), refused = 2, replaced = 2),
    ReservingCase(
        "a spare one refuses, the next grants",
        refusing("e2", "e4"),
        listOf("e1", "e5", "e3"),
        refused = 2,
        replaced = 2,
    ),
    ReservingCase(
        "more refuse than there are spare ones",
        refusing("e1", "e2", "e3"),
        engines = null,
        refused = 3,
        replaced = 2,
    ),
    ReservingCase(
        "all refuse",
        refusing("e1", "e2", "e3", "e4", "e5"),
        engines = null,
        refused = 5,
        replaced = 2,
    ),
    ReservingCase(
        "one waits for memory",
        mapOf("e3" to Answer.WAIT),
        listOf("e1", "e2", "e4"),
        refused = 1,
        replaced = 1,
    ),
    ReservingCase(
        "one does not answer",
        mapOf("e2" to Answer.LATE),
        listOf("e1", "e4", "e3"),
        unanswered = 1,
        replaced = 1,
    ),
    ReservingCase(
        "no time is left",
        mapOf("e2" to Answer.LATE),
        engines = null,
        allowedMillis = 400,
        unanswered = 1,
    ),
    ReservingCase("the caller leaves", mapOf("e2" to Answer.LATE), engines = null, leavesMillis = 200),
    ReservingCase("one ends while it holds memory", emptyMap(), listOf("e1", "e2", "e3"), endingEngine = "e2"),
)

private const val FREE_MILLIS = 4_000.0
private const val HOLD_MAX_MILLIS = 20_000.0
private const val LEAK_MILLIS = 2_000L
private const val STEP_MILLIS = 100L
private const val ORDER_TIMEOUT_MILLIS = 500L
private const val LATE_ORDER_MILLIS = 6_000L
private const val RENEWAL_MILLIS = 1_200L
private const val WATCHED_MILLIS = 20_000L
private const val ALLOWED_MILLIS = 1_800L
private const val REQUEST_MILLIS = 8_000L
private const val RESERVED_TOKENS = 1_000L
