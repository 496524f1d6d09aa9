/** Simple queues with which the fair queue is compared, and deliberately wrong variants of it. */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import java.util.TreeSet

/** Creates the queue of one endpoint. */
internal fun interface QueueFactory {
    fun create(nowMillis: () -> Long, budget: () -> QueueBudget, forecast: FirstTokenForecast): AdmissionQueue
}

/** Queueing policies. */
internal enum class Policy(private val factory: QueueFactory) : QueueFactory by factory {
    FAIR({ now, budget, forecast -> admissionQueueOf(now, budget, forecast) }),
    FIFO({ now, _, forecast -> SortedQueue(now, forecast, compareBy({ it.enqueuedAtMillis }, { it.id.value }), true) }),
    SHORTEST_FIRST(
        { now, _, forecast -> SortedQueue(now, forecast, compareBy({ it.tokens }, { it.id.value }), false) }
    ),
    NO_LIMIT({ now, _, forecast ->
        SortedQueue(now, forecast, compareBy({ it.enqueuedAtMillis }, { it.id.value }), true, expiresRequests = false)
    }),
    NO_AGEING({ now, budget, forecast ->
        admissionQueueOf(now, budget, forecast, QueueLimits(ageingMillis = { Long.MAX_VALUE / 2 })).neverOverdue()
    }),
    NO_FAIRNESS({ now, budget, forecast -> OneWorkspaceQueue(admissionQueueOf(now, budget, forecast)) }),
}

/**
 * Hides the limits of the requests from the inner queue, where a request is overdue at the latest after half of its
 * limit; requests still expire by their true limits.
 */
private fun AdmissionQueue.neverOverdue(): AdmissionQueue = NoAgeingQueue(this)

private class NoAgeingQueue(private val inner: AdmissionQueue) : AdmissionQueue by inner {
    private val waiting: HashMap<RequestId, WaitingRequest> = HashMap()

    override fun offer(waiting: WaitingRequest): Refusal? {
        this.waiting[waiting.id] = waiting
        return inner.offer(waiting.copy(waitUntilMillis = FAR_MILLIS, firstTokenByMillis = FAR_MILLIS))
    }

    override fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest? =
        inner.takeNext(fits)?.let { waiting.remove(it.id) }

    override fun expire(nowMillis: Long): List<WaitingRequest> {
        val ended = waiting.values.filter { it.startByMillis <= nowMillis }
        ended.forEach { remove(it.id) }
        return ended
    }

    override fun remove(id: RequestId) {
        waiting.remove(id)
        inner.remove(id)
    }
}

private class OneWorkspaceQueue(private val inner: AdmissionQueue) : AdmissionQueue by inner {
    private val waiting: HashMap<RequestId, WaitingRequest> = HashMap()

    override fun offer(waiting: WaitingRequest): Refusal? {
        this.waiting[waiting.id] = waiting
        return inner.offer(waiting.copy(workspace = WorkspaceId("all")))
    }

    override fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest? =
        inner.takeNext(fits)?.let { waiting.remove(it.id) }

    override fun expire(nowMillis: Long): List<WaitingRequest> =
        inner.expire(nowMillis).mapNotNull { waiting.remove(it.id) }
}

private class SortedQueue(
    private val nowMillis: () -> Long,
    private val forecast: FirstTokenForecast,
    private val order: Comparator<WaitingRequest>,
    private val blocksAtHead: Boolean,
    private val expiresRequests: Boolean = true,
) : AdmissionQueue {
    private val waiting: TreeSet<WaitingRequest> = TreeSet(order)

    override val size: Int get() = waiting.size

    override fun offer(waiting: WaitingRequest): Refusal? {
        val tokensAhead = tokensAhead(waiting)
        val predictedMillis = forecast.firstTokenMillis(waiting.promptTokens, tokensAhead)
        val lateMillis = nowMillis() + predictedMillis - waiting.startByMillis
        if (lateMillis <= 0) this.waiting += waiting else forecast.onRefused(tokensAhead)
        return if (lateMillis > 0) Refusal(RefusalReason.TOO_LATE, lateMillis) else null
    }

    override fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest? {
        val candidates = waiting.filter { it.startByMillis > nowMillis() || !expiresRequests }
        return (if (blocksAtHead) candidates.take(1) else candidates).firstOrNull(fits)?.also(waiting::remove)
    }

    override fun expire(nowMillis: Long): List<WaitingRequest> =
        waiting.filter { it.startByMillis <= nowMillis && expiresRequests }.also { waiting.removeAll(it.toSet()) }

    override fun remove(id: RequestId) {
        waiting.removeIf { it.id == id }
    }

    override fun onEnded(id: RequestId) = Unit

    override fun tokensAhead(waiting: WaitingRequest): Long =
        this.waiting.filter { order.compare(it, waiting) < 0 }.sumOf { it.tokens }
}

private const val FAR_MILLIS: Long = Long.MAX_VALUE / 4
