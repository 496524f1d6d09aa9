/**
 * Room that is reserved for an overdue request which does not fit yet.
 *
 * Until it starts, others may start only within what the endpoint holds besides it. So it fits at the latest when the
 * requests that ran at the time of the reservation have ended.
 */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** Keeps the room of [tokens] and [slots] that others may hold beside [entry]. */
internal class Reservation(val entry: QueueEntry, private var tokens: Long, private var slots: Int) {
    private val started: HashMap<RequestId, Long> = HashMap()

    val workspace: WorkspaceId get() = entry.waiting.workspace

    /** Returns whether [other] may start before [entry]. */
    fun admits(other: WaitingRequest): Boolean = other.tokens <= tokens && slots > 0

    /** Takes note that [other] startTags. */
    fun onStarted(other: WaitingRequest) {
        started[other.id] = other.tokens
        tokens -= other.tokens
        slots--
    }

    /** Gives back the room of a request that started since the reservation and has ended. */
    fun onEnded(id: RequestId) {
        tokens += started.remove(id) ?: return
        slots++
    }
}

/**
 * Returns a reservation on an endpoint of this [budget], or null when every overdue request fits.
 *
 * It is for the overdue request whose workspace would be least ahead of the others without it.
 */
internal fun reservationOrNull(
    candidates: List<DispatchCandidate>,
    budget: QueueBudget,
    fits: (WaitingRequest) -> Boolean,
): Reservation? =
    candidates.filter { it.isOverdue && !fits(it.entry.waiting) }
        .minByOrNull { it.key - it.entry.waiting.tokens }
        ?.let { Reservation(it.entry, budget.tokens - it.entry.waiting.tokens, budget.slots - 1) }
