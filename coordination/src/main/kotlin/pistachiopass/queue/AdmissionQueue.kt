/**
 * The queue in which an owner holds requests for one endpoint until there is room.
 *
 * Nothing may start past the queue: an owner that could grant at once still offers the request and then takes the next
 * one, since room may be reserved for a request that has waited for long.
 */
package pistachiopass.queue

import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** Describes a request that waits for room on an endpoint; times are readings of the owner's monotonic clock. */
public data class WaitingRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val promptTokens: Long,
    /** Tokens that the request may come to hold: prompt and answer. */
    val tokens: Long,
    /** When the wait began. */
    val enqueuedAtMillis: Long,
    /** When the wait ends without success. */
    val waitUntilMillis: Long,
    /** When the first token is due; a request that is predicted to miss it is refused. */
    val firstTokenByMillis: Long = waitUntilMillis,
) {
    /** When the request must have started; its wait ends then. */
    val startByMillis: Long get() = minOf(waitUntilMillis, firstTokenByMillis)

    init {
        require(promptTokens in 0..tokens) { "promptTokens must be in 0..$tokens, was $promptTokens" }
    }
}

/** Names the cause of a [Refusal]. */
public enum class RefusalReason {
    /** The queue holds as many requests as it may. */
    QUEUE_FULL,

    /** The first token is predicted to come after its limit. */
    TOO_LATE,
}

/** Says why a request is not taken into the queue, and after what time it would be worth another try. */
public data class Refusal(val reason: RefusalReason, val retryAfterMillis: Long)

/** Orders waiting requests; callers guard it against concurrent use. */
public interface AdmissionQueue {
    /** Requests that wait. */
    public val size: Int

    /** Takes the request in and returns null, or returns why not. */
    public fun offer(waiting: WaitingRequest): Refusal?

    /**
     * Removes and returns the next request for which [fits] returns true, or returns null; to be called after each
     * offer and each time room becomes free, until it returns null. [fits] has no effect of its own, since it may be
     * asked more than once.
     */
    public fun takeNext(fits: (WaitingRequest) -> Boolean): WaitingRequest?

    /** Removes and returns the requests whose wait has ended by [nowMillis]; they are refused as not run. */
    public fun expire(nowMillis: Long): List<WaitingRequest>

    /** Removes a request, if it is there. */
    public fun remove(id: RequestId)

    /**
     * Takes note that a request which was taken has ended, so that others may have its place beside a reservation; a
     * queue that is not told only holds back more than it need.
     */
    public fun onEnded(id: RequestId)

    /** Returns the tokens of the requests that are due before [waiting] if it arrives now. */
    public fun tokensAhead(waiting: WaitingRequest): Long
}
