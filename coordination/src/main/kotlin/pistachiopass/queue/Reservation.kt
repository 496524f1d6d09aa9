/**
 * Capacity that is reserved for an overdue request which does not fit yet.
 *
 * Until it starts, other requests may start only within the rest of the endpoint's budget. It therefore fits, at the
 * latest, when the requests that were running at the time of the reservation have ended.
 */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** Reserves capacity for [entry]; [tokens] and [slots] are the rest that other requests may use. */
internal class Reservation(val entry: QueueEntry, private var tokens: Long, private var slots: Int) {
    private val started: HashMap<RequestId, Long> = HashMap()

    val workspace: WorkspaceId get() = entry.waiting.workspace

    /** Returns whether [other] may start before the request of [entry]. */
    fun admits(other: WaitingRequest): Boolean = other.tokens <= tokens && slots > 0

    fun onStarted(other: WaitingRequest) {
        started[other.id] = other.tokens
        tokens -= other.tokens
        slots--
    }

    /** Frees the capacity of a request that started after the reservation and has ended. */
    fun onEnded(id: RequestId) {
        tokens += started.remove(id) ?: return
        slots++
    }
}

/**
 * Returns a reservation on an endpoint with this [budget], or null if every overdue request fits.
 *
 * If several do not fit, it is made for the one with the lowest key after its tokens are subtracted, since without
 * these its workspace would be the least ahead of the others.
 */
internal fun reservationOrNull(
    candidates: List<DispatchCandidate>,
    budget: QueueBudget,
    fits: (WaitingRequest) -> Boolean,
): Reservation? =
    candidates.filter { it.isOverdue && !fits(it.entry.waiting) }
        .minByOrNull { it.key - it.entry.waiting.tokens }
        ?.let { Reservation(it.entry, budget.tokens - it.entry.waiting.tokens, budget.slots - 1) }
