/**
 * What an instance learns from others beside the store as it enters an era.
 *
 * A store that has returned from an older copy says nothing of what it lost, so an instance that starts, or that was
 * behind, does not know it. In each era it asks others what they believe against the store, until two that are in the
 * same era have answered or some seconds have passed. Those that have not noticed the return yet are asked again.
 */
package pistachiopass.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.PublishedState
import pistachiopass.membership.MemberHost

/** Asks by [links] and applies the answers to [state]. Confined to the event loop. */
internal class HoldExchange(
    private val state: PublishedState,
    private val links: StateLinks,
    private val clock: AgeClock,
    private val scope: CoroutineScope,
) {
    private val startedMillis = clock.nowMillis()
    private var era: Long? = null
    private var enteredMillis = startedMillis
    private val answered = HashSet<MemberHost>()

    /** Those that gave no answer; an earlier release gives one that cannot be read. */
    private val silent = HashSet<MemberHost>()
    private var isAsking = false
    private var isAlone = true
    private var isAnswered = false

    /** Whether, after the start, another instance has answered or given the first state, or there was time for it. */
    val isDone: Boolean
        get() {
            val waitedMillis = clock.nowMillis() - if (isAlone) startedMillis else enteredMillis
            return isAnswered || (era != null && waitedMillis >= if (isAlone) ALONE_MILLIS else ANSWER_WAIT_MILLIS)
        }

    /** Records that another instance gave the first state, with what it holds. */
    fun onStateFromPeer() {
        isAnswered = true
    }

    /** Asks some of [members], the other live instances, if that is due. */
    fun tick(members: List<MemberHost>) {
        val position = state.position ?: return
        if (position.era != era) enter(position.era)
        isAlone = members.isEmpty()
        val others = members - answered - silent
        if (!isAlone && others.isEmpty()) isAnswered = true
        val isOver = answered.size >= ANSWERS || clock.nowMillis() - enteredMillis > ASK_MILLIS
        if (isOver || isAsking || others.isEmpty()) return
        isAsking = true
        scope.launch {
            try {
                others.shuffled().take(ANSWERS - answered.size).forEach { ask(it) }
            } finally {
                isAsking = false
            }
        }
    }

    private fun enter(next: Long) {
        era = next
        enteredMillis = clock.nowMillis()
        answered.clear()
        silent.clear()
    }

    private suspend fun ask(member: MemberHost) {
        val answer = links.fetchHeldOrNull(member)?.changes
        val known = state.position?.era ?: return
        when {
            answer == null -> silent += member
            answer.position.era == known -> {
                answered += member
                isAnswered = true
                state.believe(answer.items)
            }
            // It cannot say anything of this era; it is asked again in the next one.
            answer.position.era > known -> isAnswered = true
        }
    }
}

/** Instances whose answers suffice. */
private const val ANSWERS = 2

/** Time for which others are asked; instances notice the store's return within a second. */
private const val ASK_MILLIS: Long = 3_000

/** Time for which a first answer is waited for. */
private const val ANSWER_WAIT_MILLIS: Long = 1_000

/** The same, from the start, for an instance that knows no other. */
private const val ALONE_MILLIS: Long = 500
