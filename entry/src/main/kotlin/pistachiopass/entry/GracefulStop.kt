/** Steps of a graceful stop. */
package pistachiopass.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.booking.Bookings
import pistachiopass.entry.filter.StopFilter
import pistachiopass.entry.http.RunningRequests
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Stops the work of an instance within [stopMillis]. */
internal class GracefulStop(
    private val stopFilter: StopFilter,
    private val running: RunningRequests,
    private val bookings: Bookings,
    private val stopMillis: Long,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /**
     * Serves requests until the load balancer has noticed the stop, refuses new ones, waits for the running ones, seals
     * the ledger and moves it to another instance, and waits for the last refusals to be delivered.
     */
    suspend fun run() {
        val ledgerMoveMillis = minOf(MAX_LEDGER_MOVE_MILLIS, stopMillis / STEP_TIME_DIVISOR)
        val drainDeadline = clock.markNow() + (stopMillis - ledgerMoveMillis).milliseconds
        delay(minOf(BALANCER_DRAIN_MILLIS, stopMillis / STEP_TIME_DIVISOR))
        stopFilter.close()
        val isDrained = withTimeoutOrNull(remainingMillis(drainDeadline)) { awaitIdle() } != null
        if (isDrained) logStep("requests") else logTimeout()
        bookings.stop(remainingMillis(drainDeadline), ledgerMoveMillis)
        logStep("ledger")
        delay(LATE_REQUEST_MILLIS)
        withTimeoutOrNull(LATE_REQUEST_MILLIS) { awaitIdle() }
    }

    private fun remainingMillis(deadline: ComparableTimeMark): Long =
        (-deadline.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)

    private suspend fun awaitIdle() {
        while (running.count > 0) delay(IDLE_POLL_MILLIS)
    }

    private fun logTimeout(): Unit = EventLog.log(Event.STOP_TIMED_OUT, field("running", running.count))

    private fun logStep(name: String): Unit = EventLog.log(Event.STOP_STEP, tokenField("step", name))
}

/** Time in which the load balancer notices that the instance is not ready; requests are still served. */
private const val BALANCER_DRAIN_MILLIS: Long = 1_000

/** Time for requests that were in transit when the last running one ended. */
private const val LATE_REQUEST_MILLIS: Long = 500
private const val MAX_LEDGER_MOVE_MILLIS: Long = 10_000
private const val STEP_TIME_DIVISOR: Long = 4
private const val IDLE_POLL_MILLIS: Long = 50
