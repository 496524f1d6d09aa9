/** The order of a planned stop. */
package pistachiopass.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.booking.Bookings
import pistachiopass.entry.filter.StopFilter
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Ends the work of an instance within [stopMillis]. */
internal class GracefulStop(
    private val stopFilter: StopFilter,
    private val bookings: Bookings,
    private val stopMillis: Long,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** Refuses new requests, waits for those that run, then seals the ledger and moves it. */
    suspend fun run() {
        val moveMillis = minOf(MAX_MOVE_MILLIS, stopMillis / MOVE_SHARE)
        val drainEnd = clock.markNow() + (stopMillis - moveMillis).milliseconds
        stopFilter.close()
        val isDrained = withTimeoutOrNull(stopMillis - moveMillis) { awaitIdle() } != null
        if (isDrained) logStep("requests") else logTimeout()
        val remainingMillis = (-drainEnd.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
        bookings.stop(remainingMillis, moveMillis)
        logStep("ledger")
    }

    private suspend fun awaitIdle() {
        while (stopFilter.runningRequests > 0) delay(IDLE_POLL_MILLIS)
    }

    private fun logTimeout(): Unit = EventLog.log(Event.STOP_TIMED_OUT, field("running", stopFilter.runningRequests))

    private fun logStep(name: String): Unit = EventLog.log(Event.STOP_STEP, tokenField("step", name))
}

private const val MAX_MOVE_MILLIS: Long = 10_000
private const val MOVE_SHARE: Long = 4
private const val IDLE_POLL_MILLIS: Long = 50
