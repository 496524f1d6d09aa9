/** The queue in which an owner holds lease requests that do not fit yet. */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** Describes a request that waits for room on an endpoint. */
public data class Waiting(
    val id: RequestId,
    val workspace: WorkspaceId,
    val promptTokens: Long,
    val tokens: Long,
    /** When the wait began, on the owner's clock. */
    val sinceMillis: Long,
    /** When the wait ends without success, on the owner's clock. */
    val untilMillis: Long,
)

/** Says why a request is not taken into the queue. */
public enum class Refusal {
    /** The queue is full. */
    QUEUE_FULL,

    /** The request cannot be served by its deadline. */
    TOO_LATE,
}

/** Orders waiting requests; callers guard it against concurrent use. */
public interface AdmissionQueue {
    /** Takes the request in and returns null, or returns why not. */
    public fun offer(waiting: Waiting): Refusal?

    /** Removes and returns the next request for which [fits] returns true, or returns null. */
    public fun takeNext(fits: (Waiting) -> Boolean): Waiting?

    /** Removes and returns the requests whose wait has ended by [nowMillis]. */
    public fun expire(nowMillis: Long): List<Waiting>

    /** Removes a request, if it is there. */
    public fun remove(id: RequestId)
}

/** Returns a queue that serves in the order of arrival; a request that does not fit holds back those behind it. */
public fun firstInFirstOutQueue(limit: Int = DEFAULT_QUEUE_LIMIT): AdmissionQueue = FirstInFirstOutQueue(limit)

private class FirstInFirstOutQueue(private val limit: Int) : AdmissionQueue {
    private val waiting: LinkedHashMap<RequestId, Waiting> = LinkedHashMap()

    override fun offer(waiting: Waiting): Refusal? {
        if (this.waiting.size >= limit) return Refusal.QUEUE_FULL
        this.waiting[waiting.id] = waiting
        return null
    }

    override fun takeNext(fits: (Waiting) -> Boolean): Waiting? =
        waiting.values.firstOrNull()?.takeIf(fits)?.also { waiting.remove(it.id) }

    override fun expire(nowMillis: Long): List<Waiting> {
        val ended = waiting.values.filter { it.untilMillis <= nowMillis }
        ended.forEach { waiting.remove(it.id) }
        return ended
    }

    override fun remove(id: RequestId) {
        waiting.remove(id)
    }
}

private const val DEFAULT_QUEUE_LIMIT: Int = 1_024
