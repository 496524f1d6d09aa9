/**
 * The queue in which the owner of an endpoint, which grants leases on it, keeps requests until there is capacity.
 *
 * Every request must pass through the queue, even if it could be granted immediately, since the free capacity may be
 * reserved for a request that has waited for a long time.
 */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** A request that waits for capacity of an endpoint; times are readings of the owner's monotonic clock. */
public data class WaitingRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val promptTokens: Long,
    /** Tokens that the request may come to hold: those of the prompt and of the answer. */
    val tokens: Long,
    val enqueuedAtMillis: Long,
    /** End of the longest allowed wait in the queue. */
    val waitUntilMillis: Long,
    /** Deadline of the first token; a request that is predicted to miss it is refused. */
    val firstTokenByMillis: Long = waitUntilMillis,
) {
    /** The earlier of both limits, at which the request expires. */
    val startByMillis: Long get() = minOf(waitUntilMillis, firstTokenByMillis)

    init {
        require(promptTokens in 0..tokens) { "promptTokens must be in 0..$tokens, was $promptTokens" }
    }
}

/** Cause of a [Refusal]. */
public enum class RefusalReason {
    /** The queue has no place left for the workspace of the request. */
    QUEUE_FULL,

    /** The request is predicted to miss its limit for the first token or for its wait. */
    TOO_LATE,
}

/** Why a request was not admitted to the queue, and after what time a retry may succeed. */
public data class Refusal(val reason: RefusalReason, val retryAfterMillis: Long)

/** Orders waiting requests; not thread-safe. */
public interface AdmissionQueue {
    /** Number of waiting requests. */
    public val size: Int

    /** Adds the request and returns null, or returns the reason for a refusal. */
    public fun offer(waiting: WaitingRequest): Refusal?

    /**
     * Removes and returns the next request for which [fits] returns true, or returns null.
     *
     * Must be called after each offer and each time capacity becomes free, repeatedly until it returns null. [fits]
     * must have no side effects, since it may be called more than once for a request.
     */
    public fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest?

    /** Removes and returns the requests that have expired by [nowMillis]; the caller fails them as `not run`. */
    public fun expire(nowMillis: Long): List<WaitingRequest>

    /** Removes a request, if it is in the queue. */
    public fun remove(id: RequestId)

    /**
     * Tells the queue that a request which was taken from it has ended, so that others may use its capacity while a
     * reservation is in force. Without the call, the queue only holds back more requests than necessary.
     */
    public fun onEnded(id: RequestId)

    /** Returns the tokens of the requests that go before [waiting] if it is offered now. */
    public fun tokensAhead(waiting: WaitingRequest): Long
}
