/** Watches the store: reads all published state once if there is none, then waits for changes from its position. */
package pistachiopass.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateProblem
import pistachiopass.gateway.StateSource
import pistachiopass.gateway.repeatUntilCancelled
import pistachiopass.published.PublishedChanges
import pistachiopass.published.Revision

/** Applies what [source] publishes to [state] while [run] is active and the watch is wanted. */
internal class StateWatch(
    private val source: StateSource,
    private val state: PublishedState,
    private val clock: AgeClock,
    private val log: EventLog = EventLog,
) {
    private var wanted: CompletableDeferred<Unit> = CompletableDeferred()
    private var isOnDuty = false
    private var needsAll = false
    private var failures = 0

    /** Whether the last call to the store failed. */
    val isFailing: Boolean get() = failures > 0

    /** Called each time the store has confirmed the state. */
    var onConfirmed: () -> Unit = {}

    /** Starts or stops the watch; one that [isOnDuty] for others tries a store that does not answer more often. */
    fun want(isWanted: Boolean, isOnDuty: Boolean) {
        this.isOnDuty = isOnDuty
        if (isWanted) wanted.complete(Unit) else if (wanted.isCompleted) wanted = CompletableDeferred()
    }

    suspend fun run(): Unit = repeatUntilCancelled(log) {
        wanted.await()
        val pauseMillis = call()
        if (pauseMillis > 0) delay(pauseMillis)
    }

    /** Calls the store; returns the time until the next call. */
    private suspend fun call(): Long = coroutineScope {
        val early = launch(start = CoroutineStart.UNDISPATCHED) { callForSmall() }
        callForAll().also { early.cancel() }
    }

    /**
     * Applies small changes first while the state is old. A large routing table may come with them, which takes its
     * time on a slow link; an endpoint that leaves would get requests meanwhile.
     */
    private suspend fun callForSmall() {
        val known = state.position
        val isAnswered = !needsAll && failures == 0
        if (known == null || !isAnswered || state.knownState.freshness.isWithin(OLD_STATE_MILLIS)) return
        val requestedAtMillis = clock.nowMillis()
        source.smallChangesAfter(known)?.let { state.applySome(it, requestedAtMillis) }
    }

    private suspend fun callForAll(): Long {
        val requestedAtMillis = clock.nowMillis()
        val known = state.position
        val waitMillis = if (failures > 0) WATCH_AFTER_FAILURE_MILLIS else WATCH_MILLIS
        val isRead = known == null || needsAll
        val result: Result<PublishedChanges, StateProblem> =
            if (known == null || isRead) source.readAll(known) else source.changesAfter(known, waitMillis)
        return result.andThen { notBehind(it, known) }.mapBoth(
            success = {
                succeeded(it, requestedAtMillis)
                if (it.items.isEmpty()) 0 else GATHER_MILLIS
            },
            failure = {
                failed(it, isRead)
                backoffMillis()
            },
        )
    }

    /** A response that is older than what was known when it was asked for says nothing of the present. */
    private fun notBehind(changes: PublishedChanges, known: Revision?): Result<PublishedChanges, StateProblem> {
        if (known == null || changes.position >= known) return Ok(changes)
        log.log(Event.STATE_BEHIND, tokenField("position", "${changes.position}"), tokenField("asked", "$known"))
        return Err(StateProblem.OUTDATED)
    }

    /**
     * Confirms the state only as of the time of the request: a watch connection may stop delivering changes long before
     * it breaks.
     */
    private fun succeeded(changes: PublishedChanges, requestedAtMillis: Long) {
        if (failures > 0) log.log(Event.PLATFORM_BACK, field("failures", failures))
        failures = 0
        needsAll = false
        val before = state.position
        val changed = state.applyAndConfirm(changes, requestedAtMillis).changed
        if (changes.isFull) logRead(changes, before, changed)
        onConfirmed()
    }

    private fun logRead(read: PublishedChanges, before: Revision?, changed: Int): Unit = log.log(
        Event.STATE_READ,
        tokenField("before", before?.toString() ?: "none"),
        tokenField("position", "${read.position}"),
        field("items", read.items.size),
        field("changed", changed),
    )

    private fun failed(problem: StateProblem, isRead: Boolean) {
        val isChangeLost = problem in LOST_CHANGES && !isRead
        needsAll = needsAll || isChangeLost
        if (isChangeLost && problem == StateProblem.ERA_CHANGED) return
        if (failures == 0 || isChangeLost) {
            log.log(
                Event.PLATFORM_UNREACHABLE,
                field("problem", problem),
                tokenField("position", state.position?.toString() ?: "none"),
                field("proofAgeMillis", state.knownState.freshness.ageMillisOrNull() ?: -1),
            )
        }
        if (isChangeLost) return
        failures++
        source.reconnect()
    }

    private fun backoffMillis(): Long {
        if (failures == 0) return 0
        val maxMillis = if (isOnDuty) RETRY_MAX_MILLIS else RETRY_MAX_OFF_DUTY_MILLIS
        return minOf(RETRY_MIN_MILLIS shl minOf(failures, RETRY_SHIFT_MAX), maxMillis)
    }
}

/** Problems of a watch after which all items are read at once. */
private val LOST_CHANGES = setOf(StateProblem.HISTORY_GONE, StateProblem.UNKNOWN_CHANGE, StateProblem.ERA_CHANGED)

/**
 * Time for which a watch waits for a change. The state gets twice as old before a call without changes confirms it,
 * which stays under the age at which other instances watch the store themselves.
 */
private const val WATCH_MILLIS: Long = 600

/** Age of the state above which small changes are asked for apart; above two watches without a change. */
private const val OLD_STATE_MILLIS: Long = 1_300

/** Pause after a change, so that several changes in a row take one call. */
private const val GATHER_MILLIS: Long = 300

/** After a failure the store is asked not to wait, so that a request lost in an outage times out soon. */
private const val WATCH_AFTER_FAILURE_MILLIS: Long = 1
private const val RETRY_MIN_MILLIS: Long = 50
private const val RETRY_MAX_MILLIS: Long = 400

/** The same for instances that are not expected to watch: during an outage the store gets few calls of many of them. */
private const val RETRY_MAX_OFF_DUTY_MILLIS: Long = 1_000
private const val RETRY_SHIFT_MAX: Int = 5
