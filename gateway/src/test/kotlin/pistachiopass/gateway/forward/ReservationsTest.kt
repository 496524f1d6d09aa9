/**
 * Tests in virtual time that memory stays reserved while its request lasts and is released in time afterwards.
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
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.EndpointOrders
import pistachiopass.gateway.OrderOutcome
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.model.RequestId
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

@OptIn(ExperimentalCoroutinesApi::class)
class ReservationsTest {
    @TestFactory
    fun `memory is reserved while the request lasts and released in time afterwards`(): List<DynamicTest> = casesOf(
        Fault.entries.flatMap { fault -> listOf(500L, 3_000L, 12_000L).map { ReservationCase(fault, it) } },
    ) { case ->
        runTest {
            val memory = SimulatedEngineMemory(this)
            val instance = CoroutineScope(coroutineContext + Job())
            val reservations = Reservations(memory, holdMillisOf(FREE_MILLIS, HOLD_MAX_MILLIS), instance)
            val reservation = assertNotNull(reservations.reserveOrNull(RequestId("r"), assignment()))
            repeat((case.requestMillis / STEP_MILLIS).toInt()) {
                assertTrue(memory.isHeld(), "memory is not reserved at $currentTime ms")
                delay(STEP_MILLIS)
            }
            endRequest(case.fault, memory, instance, reservation)
            assertReleasedInTime(memory)
            instance.cancel()
        }
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
    private suspend fun TestScope.assertReleasedInTime(memory: SimulatedEngineMemory) {
        val endedMillis = currentTime
        var heldSinceMillis: Long? = null
        while (currentTime < endedMillis + WATCHED_MILLIS) {
            delay(STEP_MILLIS)
            heldSinceMillis = if (memory.isHeld()) heldSinceMillis ?: currentTime else null
            val isLeak = heldSinceMillis != null &&
                currentTime - endedMillis > FREE_MILLIS && currentTime - heldSinceMillis >= LEAK_MILLIS
            assertTrue(!isLeak, "reserved since $heldSinceMillis ms, but the request ended at $endedMillis ms")
        }
    }

    private fun assignment(): Assignment {
        val knownState = knownStateOf({ 0L }, EventLog { _, _, _ -> })
        knownState.apply(listOf(endpointItem(2, "e1", endpointOf("e1"))))
        val endpoint = knownState.endpoints.of(ASSISTANT).single()
        return Assignment(endpoint, emptyList(), forecastMillis = 0.0, emptyList(), reservedTokens = 1_000)
    }
}

private const val FREE_MILLIS = 4_000.0
private const val HOLD_MAX_MILLIS = 20_000.0
private const val LEAK_MILLIS = 2_000L
private const val STEP_MILLIS = 100L
private const val ORDER_TIMEOUT_MILLIS = 500L
private const val LATE_ORDER_MILLIS = 6_000L
private const val RENEWAL_MILLIS = 1_200L
private const val WATCHED_MILLIS = 20_000L
