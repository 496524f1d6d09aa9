/**
 * What an instance that starts learns from others beside the store.
 *
 * A store that has just returned from an older copy says nothing of it. So an instance that has its first state asks
 * two others what they believe against the store, until some have answered that are in the same era or some seconds
 * have passed. Those that have not noticed the return yet are asked again.
 */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.PublishedState
import pistachiopass.membership.MemberHost

/** Asks by [links] and applies the answers to [state]. Confined to the event loop. */
internal class StartExchange(
    private val state: PublishedState,
    private val links: StateLinks,
    private val clock: AgeClock,
    private val scope: CoroutineScope,
) {
    private val startedMillis = clock.nowMillis()
    private var stateSinceMillis: Long? = null
    private val answered = HashSet<MemberHost>()

    /** Those that gave no answer; an earlier release gives one that cannot be read. */
    private val silent = HashSet<MemberHost>()
    private var isAsking = false

    /** Whether others were asked or gave the first state, or there was time for it. */
    var isDone: Boolean = false
        get() = field || (stateSinceMillis ?: startedMillis) + ANSWER_WAIT_MILLIS <= clock.nowMillis()
        private set

    /** Records that another instance gave the first state, with what it holds. */
    fun onStateFromPeer() {
        isDone = true
    }

    /** Asks some of [members], the other live instances, if that is due. */
    fun tick(members: List<MemberHost>) {
        if (state.position == null) return
        val sinceMillis = stateSinceMillis ?: clock.nowMillis().also { stateSinceMillis = it }
        val isOver = answered.size >= ANSWERS || clock.nowMillis() - sinceMillis > ASK_MILLIS
        val others = members - answered - silent
        if (isOver || isAsking || others.isEmpty()) return
        isAsking = true
        scope.launch {
            try {
                others.shuffled().take(ANSWERS - answered.size).forEach { ask(it) }
            } finally {
                isAsking = false
                isDone = true
            }
        }
    }

    private suspend fun ask(member: MemberHost) {
        val answer = links.fetchHeldOrNull(member)?.changes
        val era = state.position?.era ?: return
        when {
            answer == null -> silent += member
            answer.position.era == era -> {
                answered += member
                state.believe(answer.items)
            }
            answer.position.era > era -> answered += member
        }
    }
}

/** Instances whose answers suffice. */
private const val ANSWERS = 2

/** Time after the first state for which others are asked; instances notice the store's return within a second. */
private const val ASK_MILLIS: Long = 3_000

/** Time for which a first answer is waited for. */
private const val ANSWER_WAIT_MILLIS: Long = 500
