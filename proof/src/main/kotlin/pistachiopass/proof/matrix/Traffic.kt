/** The requests of a case beside its probe: steady traffic, bookings and the model requests at the end. */
package pistachiopass.proof.matrix

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Instance
import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.proof.harness.Callers
import pistachiopass.proof.harness.Fleet
import pistachiopass.proof.harness.ModelRequest
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestAnswered
import pistachiopass.proof.history.RequestRefused
import pistachiopass.proof.history.TableInForce
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

internal class Traffic(
    private val fleet: Fleet,
    private val callers: Callers,
    private val recorder: Recorder,
    seed: Long,
) {
    private val random = Random(seed)
    private val instances = fleet.layout.instances.instances
    private val number = AtomicInteger()

    @Volatile
    private var probeKey: String? = null

    /** Sends small model requests and bookings to all instances until it is cancelled; each that was sent is ended. */
    suspend fun runBackground(): Unit = coroutineScope {
        while (true) {
            val instance = instances.random(random)
            val isBooking = random.nextInt(BOOKING_PERIOD) == 0
            launch { withContext(NonCancellable) { if (isBooking) book(nextId("b"), instance) else ask(instance) } }
            delay(random.nextLong(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS))
        }
    }

    /** Makes the booking at which faults are injected; the second time it repeats it. */
    suspend fun bookProbe(instance: Instance): Unit = book(PROBE.value, instance)

    /** Returns once the last pools table is in force at all instances, or the time for that has passed. */
    suspend fun awaitPoolsInForce() {
        awaitValue {
            val states = recorder.history().all<TableInForce>().filter { it.table == "pools" }
            val inForce = states.filter { it.version >= fleet.operators.lastPools }.map { it.instance }.toSet()
            Unit.takeIf { inForce.size == instances.size }
        }
    }

    /** Returns whether each instance answers a model request within the limit. */
    suspend fun awaitAnswersEverywhere(): Boolean = instances.all { instance ->
        withTimeoutOrNull(LIMIT_MILLIS) {
            while (ask(instance) !is RequestAnswered) delay(RETRY_MILLIS)
        } != null
    }

    private suspend fun ask(instance: Instance): HistoryEvent? =
        number.incrementAndGet().let {
            val promptTokens = SMALL_PROMPT_TOKENS + it
            callers.ask(ModelRequest(RequestId("q-$it"), promptTokens, SMALL_ANSWER_TOKENS), instance)
        }

    /** Books as an honest caller does: after "not run" again, after "may have run" again with the same key only. */
    private suspend fun book(booking: String, instance: Instance) {
        var key = probeKey.takeIf { booking == PROBE.value }
        repeat(ATTEMPTS) {
            val outcome = callers.book(RequestId("$booking-${number.incrementAndGet()}"), booking, key, instance)
            val refused = outcome as? RequestRefused
            if (outcome is RequestAnswered) return
            if (refused?.verdict != Verdict.NOT_RUN && key == null) return
            key = key ?: refused?.freshKey
            if (booking == PROBE.value) probeKey = key
            delay(RETRY_MILLIS)
        }
    }

    private fun nextId(prefix: String): String = "$prefix-${number.incrementAndGet()}"
}

private const val SMALL_PROMPT_TOKENS: Int = 100
private const val SMALL_ANSWER_TOKENS: Int = 5
private const val BOOKING_PERIOD: Int = 4
private const val SHORTEST_GAP_MILLIS: Long = 100
private const val LONGEST_GAP_MILLIS: Long = 400
private const val RETRY_MILLIS: Long = 300
private const val ATTEMPTS: Int = 3
