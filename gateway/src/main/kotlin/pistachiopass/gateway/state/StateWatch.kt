/** Keeps the known state current: reads all published state once, then watches for changes from that revision. */
package pistachiopass.gateway.state

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.delay
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.StateProblem
import pistachiopass.gateway.StateSource
import pistachiopass.gateway.model.Revision

/** Applies what [source] publishes to [knownState] while [run] is active. */
internal class StateWatch(
    private val source: StateSource,
    private val knownState: KnownState,
    private val clock: AgeClock,
    private val log: EventLog = EventLog,
) {
    private var failures = 0

    suspend fun run() {
        var position: Revision? = null
        while (true) {
            position = if (position == null) readAll() else watch(position)
            if (failures > 0) delay(minOf(RETRY_MIN_MILLIS shl minOf(failures, RETRY_SHIFT_MAX), RETRY_MAX_MILLIS))
        }
    }

    private suspend fun readAll(): Revision? {
        val requestedAtMillis = clock.nowMillis()
        return source.readAll().mapBoth(
            success = {
                knownState.applyAll(it)
                succeeded(requestedAtMillis)
                it.revision
            },
            failure = {
                failed(it)
                null
            },
        )
    }

    private suspend fun watch(after: Revision): Revision? {
        val requestedAtMillis = clock.nowMillis()
        val waitMillis = if (failures > 0) WATCH_AFTER_FAILURE_MILLIS else WATCH_MILLIS
        return source.changesAfter(after, waitMillis).mapBoth(
            success = {
                knownState.applyChanges(it)
                succeeded(requestedAtMillis)
                maxOf(after, it.revision)
            },
            failure = {
                failed(it)
                if (it == StateProblem.HISTORY_GONE) null else after
            },
        )
    }

    /**
     * Confirms the state only as of the time of the request: a watch connection may stop delivering changes long before
     * it breaks.
     */
    private fun succeeded(requestedAtMillis: Long) {
        if (failures > 0) log.log(Event.PLATFORM_BACK, field("failures", failures))
        failures = 0
        knownState.freshness.confirmedByStore(requestedAtMillis)
    }

    private fun failed(problem: StateProblem) {
        if (failures == 0 || problem == StateProblem.HISTORY_GONE) {
            log.log(
                Event.PLATFORM_UNREACHABLE,
                field("problem", problem),
                field("proofAgeMillis", knownState.freshness.ageMillisOrNull() ?: -1),
            )
        }
        if (problem == StateProblem.HISTORY_GONE) return
        failures++
        source.reconnect()
    }
}

/**
 * Time for which a watch waits for a change. The age of the known state stays below this plus the duration of one call,
 * well under the limit within which removed keys must be refused.
 */
private const val WATCH_MILLIS: Long = 1_000

/** After a failure the store is asked not to wait, so that a request lost in an outage times out soon. */
private const val WATCH_AFTER_FAILURE_MILLIS: Long = 1
private const val RETRY_MIN_MILLIS: Long = 50
private const val RETRY_MAX_MILLIS: Long = 400
private const val RETRY_SHIFT_MAX: Int = 3
