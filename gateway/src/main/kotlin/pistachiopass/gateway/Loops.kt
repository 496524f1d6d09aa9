/** Loops that no unexpected exception ends. */
package pistachiopass.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log

/**
 * Runs [step] over and over until the coroutine is cancelled. If a run throws, the exception is logged and the next one
 * follows after a pause: an instance whose watch or membership had ended would go on with a state that only gets older.
 */
internal suspend fun repeatUntilCancelled(log: EventLog = EventLog, step: suspend () -> Unit): Nothing {
    while (true) {
        runCatching { step() }.onFailure { error ->
            if (error is CancellationException) throw error
            log.log(Event.INTERNAL_ERROR, field("error", error))
            delay(PAUSE_AFTER_ERROR_MILLIS)
        }
    }
}

/** Short against the ages at which published state is too old, and long enough that the log stays small. */
private const val PAUSE_AFTER_ERROR_MILLIS: Long = 250
