/**
 * An admission queue that is fair between workspaces, prefers short prompts and prevents starvation.
 *
 * Between workspaces it uses start-time fair queueing on tokens (Goyal, Vin and Cheng, 1996): each workspace has a
 * start tag that increases by the tokens it is served. The key of a request is the tag that its workspace would reach,
 * so of two workspaces with equal tags the one with the smaller request goes first. Within a workspace, requests are
 * ordered by prompt class, the shortest first, and then by deadline.
 *
 * A request that has waited for its ageing time is overdue: it goes before all others of its workspace, and its key is
 * the start tag itself. If it does not fit, capacity is reserved for it. A request therefore starts at the latest after
 * its ageing time plus the longest run time of a request, once for its own reservation and once for each reservation
 * before it.
 */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.routing.PromptClass

/** Limits of an admission queue. */
public data class QueueLimits(
    /** Maximum number of waiting requests. */
    val requests: Int = DEFAULT_QUEUED_REQUESTS,
    /** Wait after which a request of a class is overdue; half of the request's own limit applies if it is shorter. */
    val ageingMillis: (PromptClass) -> Long = PromptClass::ageingMillis,
)

/** Total capacity of an endpoint. */
public data class QueueBudget(val tokens: Long, val slots: Int)

/**
 * Returns an empty queue for an endpoint.
 *
 * [nowMillis] reads the clock that the times of the requests refer to, and [budget] returns the current capacity.
 */
public fun admissionQueueOf(
    nowMillis: () -> Long,
    budget: () -> QueueBudget,
    forecast: FirstTokenForecast,
    limits: QueueLimits = QueueLimits(),
): AdmissionQueue {
    require(limits.requests > 0) { "requests must be positive, was ${limits.requests}" }
    return FairQueue(nowMillis, budget, forecast, limits)
}

private class FairQueue(
    private val nowMillis: () -> Long,
    private val budget: () -> QueueBudget,
    private val forecast: FirstTokenForecast,
    private val limits: QueueLimits,
) : AdmissionQueue {
    private val requests: HashMap<RequestId, QueueEntry> = HashMap()
    private val backlogs: WorkspaceBacklogs = WorkspaceBacklogs()
    private var reservation: Reservation? = null

    override val size: Int get() = requests.size

    override fun offer(waiting: WaitingRequest): Refusal? {
        if (waiting.id in requests) return null
        val refusal = refusalOrNull(waiting)
        if (refusal == null) {
            val entry = queueEntryOf(waiting, limits.ageingMillis(waiting.promptClass))
            requests[waiting.id] = entry
            backlogs.add(entry)
        }
        return refusal
    }

    override fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest? {
        val now = nowMillis()
        val reserved = reservation?.entry
        val next = reserved?.takeIf { it.isWaitingAt(now) && fits(it.waiting) } ?: firstThatFits(now, fits)
        return next?.also(::take)?.waiting
    }

    override fun expire(nowMillis: Long): List<WaitingRequest> {
        val ended = requests.values.filterNot { it.isWaitingAt(nowMillis) }
        ended.forEach(::drop)
        return ended.map { it.waiting }
    }

    override fun remove(id: RequestId) {
        requests[id]?.let(::drop)
    }

    override fun onEnded(id: RequestId) {
        reservation?.onEnded(id)
    }

    override fun tokensAhead(waiting: WaitingRequest): Long {
        val activeReservation = reservation?.takeUnless { it.admits(waiting) || it.workspace == waiting.workspace }
        return backlogs.tokensAhead(waiting) + (activeReservation?.entry?.waiting?.tokens ?: 0)
    }

    /** Limits a workspace to as many places as are free, so that one that floods the queue leaves some to others. */
    private fun refusalOrNull(waiting: WaitingRequest): Refusal? {
        val tokensAhead = tokensAhead(waiting)
        val predictedMillis = forecast.firstTokenMillis(waiting.promptTokens, tokensAhead)
        val startInMillis = forecast.firstTokenMillis(promptTokens = 0, tokensAhead)
        val lateMillis = nowMillis() +
            maxOf(predictedMillis - waiting.firstTokenByMillis, startInMillis - waiting.waitUntilMillis)
        val freePlaces = limits.requests - requests.size
        return when {
            lateMillis > 0 ->
                Refusal(RefusalReason.TOO_LATE, lateMillis).also { forecast.onRefused(tokensAhead) }
            backlogs.sizeOf(waiting.workspace) >= freePlaces ->
                Refusal(RefusalReason.QUEUE_FULL, maxOf(1, predictedMillis))
            else -> null
        }
    }

    private fun firstThatFits(now: Long, fits: (WaitingRequest) -> Boolean): QueueEntry? {
        val candidates = backlogs.candidatesAt(now)
        val activeReservation = reservation ?: reservationOrNull(candidates, budget(), fits)
        reservation = activeReservation
        return candidates.map { it.entry }
            .filter { activeReservation == null || activeReservation.admits(it.waiting) }
            .firstOrNull { fits(it.waiting) }
    }

    private fun take(entry: QueueEntry) {
        reservation?.onStarted(entry.waiting)
        backlogs.charge(entry)
        drop(entry)
    }

    private fun drop(entry: QueueEntry) {
        requests.remove(entry.waiting.id)
        backlogs.remove(entry)
        if (reservation?.entry === entry) reservation = null
    }
}

private const val DEFAULT_QUEUED_REQUESTS: Int = 1_024
