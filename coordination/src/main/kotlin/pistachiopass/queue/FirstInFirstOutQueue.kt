/** An admission queue in the order of arrival, the baseline of others. */
package pistachiopass.queue

import pistachiopass.model.RequestId

/** Returns a queue that serves in the order of arrival; a request that does not fit holds back those behind it. */
public fun firstInFirstOutQueue(limit: Int = DEFAULT_QUEUE_LIMIT): AdmissionQueue = FirstInFirstOutQueue(limit)

private class FirstInFirstOutQueue(private val limit: Int) : AdmissionQueue {
    private val waiting: LinkedHashMap<RequestId, Waiting> = LinkedHashMap()

    override val size: Int get() = waiting.size

    override fun offer(waiting: Waiting): Refusal? {
        if (size >= limit) return Refusal(RefusalReason.QUEUE_FULL, RETRY_AFTER_MILLIS)
        this.waiting[waiting.id] = waiting
        return null
    }

    override fun takeNext(fits: (Waiting) -> Boolean): Waiting? =
        waiting.values.firstOrNull()?.takeIf(fits)?.also { waiting.remove(it.id) }

    override fun expire(nowMillis: Long): List<Waiting> {
        val ended = waiting.values.filter { it.startByMillis <= nowMillis }
        ended.forEach { waiting.remove(it.id) }
        return ended
    }

    override fun remove(id: RequestId) {
        waiting.remove(id)
    }

    override fun ended(id: RequestId): Unit = Unit

    override fun tokensAhead(waiting: Waiting): Long = this.waiting.values.sumOf { it.tokens }
}

private const val DEFAULT_QUEUE_LIMIT: Int = 1_024
private const val RETRY_AFTER_MILLIS: Long = 1_000
