/** The history of one run and the recorder that many coroutines write it through. */
package pistachiopass.proof.history

import pistachiopass.model.RequestId
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Holds the events of a run in the order of their times, and the time at which the run ended. */
public class History(events: List<HistoryEvent>, endMillis: Long? = null) {
    /** All events by time. */
    public val events: List<HistoryEvent> = events.sortedBy { it.atMillis }

    /** End of the run. */
    public val endMillis: Long = endMillis ?: this.events.lastOrNull()?.atMillis ?: 0

    /** Returns the events of one type. */
    public inline fun <reified T : HistoryEvent> all(): List<T> = events.filterIsInstance<T>()

    /** Returns the time at which each request ended for its caller. */
    public fun requestEnds(): Map<RequestId, Long> = buildMap {
        events.forEach { event -> event.endedRequestOrNull()?.let { putIfAbsent(it, event.atMillis) } }
    }
}

/** Returns the request that this event ended, or null. */
private fun HistoryEvent.endedRequestOrNull(): RequestId? = when (this) {
    is RequestAnswered -> request
    is RequestRefused -> request
    is ConnectionBroken -> request
    else -> null
}

/** Collects events; safe for use by many coroutines. */
public class Recorder(private val start: TimeMark = TimeSource.Monotonic.markNow()) {
    private val events: ConcurrentLinkedQueue<HistoryEvent> = ConcurrentLinkedQueue()

    /** Returns the time since the recorder started. */
    public fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds

    /** Adds the event that [eventAt] makes of the present time. */
    public fun record(eventAt: (Long) -> HistoryEvent) {
        events += eventAt(nowMillis())
    }

    /** Returns everything recorded so far. */
    public fun history(): History = History(events.toList(), nowMillis())
}
