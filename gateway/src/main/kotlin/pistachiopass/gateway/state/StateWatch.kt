/** Keeps the beliefs current by reading all published state once and watching for changes from there. */
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

/** Watches [source] for as long as [run] runs. */
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

    /** A watch may be deaf until it is cut, so its answer proves the state at the time of the question only. */
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

/** Time for which a watch waits; the age of the proof stays below it plus one call, well under the bound on keys. */
private const val WATCH_MILLIS: Long = 1_000

/** After a failure the store is asked not to wait, so that a question lost in an outage is given up soon. */
private const val WATCH_AFTER_FAILURE_MILLIS: Long = 1
private const val RETRY_MIN_MILLIS: Long = 50
private const val RETRY_MAX_MILLIS: Long = 400
private const val RETRY_SHIFT_MAX: Int = 3
