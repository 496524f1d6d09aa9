/** Fetches what an update of another instance was too small for. */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.state.PublishedState
import pistachiopass.membership.MemberHost
import pistachiopass.published.Revision

/** What [source] had beyond the position [base], as of its response to a request at [requestedAtMillis] (age clock). */
internal class FetchedState(
    val source: MemberHost,
    val base: Revision?,
    val requestedAtMillis: Long,
    val peerState: PeerState,
)

/**
 * Fetches the state from one instance at a time. A source that is busy giving it to others is left for another one of
 * [sources] after a short pause. Confined to the event loop.
 */
internal class StateFetch(
    private val state: PublishedState,
    private val links: StateLinks,
    private val runtime: ExchangeRuntime,
    private val scope: CoroutineScope,
    private val sources: () -> List<MemberHost>,
    private val onFetched: (FetchedState) -> Unit,
) {
    private var isActive = false

    /** Begins with [source], unless a fetch is active. */
    fun start(source: MemberHost) {
        if (isActive) return
        isActive = true
        scope.launch {
            try {
                fetch(source)
            } finally {
                isActive = false
            }
        }
    }

    private suspend fun fetch(first: MemberHost) {
        var source = first
        repeat(TRIES_MAX) {
            val base = state.position
            val requestedAtMillis = runtime.clock.nowMillis()
            val result = links.fetch(source)
            when (result) {
                is FetchResult.Received -> {
                    val fetched = FetchedState(source, base, requestedAtMillis, result.peerState)
                    runtime.log.logFetched(fetched, runtime.clock.nowMillis() - requestedAtMillis)
                    onFetched(fetched)
                }
                else -> {
                    val isBusy = result == FetchResult.Busy
                    runtime.log.log(
                        Event.STATE_NOT_FETCHED,
                        tokenField("peer", source.value),
                        field("isBusy", isBusy),
                    )
                }
            }
            if (result != FetchResult.Busy) return
            delay(runtime.random.nextLong(PAUSE_MIN_MILLIS, PAUSE_MAX_MILLIS))
            source = sources().randomOrNull(runtime.random) ?: source
        }
    }
}

private fun EventLog.logFetched(fetched: FetchedState, totalMillis: Long): Unit = log(
    Event.STATE_FETCHED,
    tokenField("peer", fetched.source.value),
    field("items", fetched.peerState.changes.items.size),
    field("bytes", fetched.peerState.changes.items.sumOf { it.value?.size ?: 0 }),
    field("ageMillis", fetched.peerState.ageMillis),
    field("totalMillis", totalMillis),
)

/** Sources that are tried while they are busy; the next update begins a fetch anew. */
private const val TRIES_MAX: Int = 8

/** Pause after a busy source: some of the time that one transfer of a large table takes. */
private const val PAUSE_MIN_MILLIS: Long = 50
private const val PAUSE_MAX_MILLIS: Long = 150
