/** Conversion of refusals by the admission queue into failures for callers. */
package pistachiopass.queue

import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Returns the failure for a request that the queue of [endpoint] did not admit. */
public fun Refusal.toFailure(endpoint: EndpointId): Failure =
    Failure(FailureCode.OVERLOADED, Verdict.NOT_RUN, reason.messageFor(endpoint), retryAfterMillis)

private fun RefusalReason.messageFor(endpoint: EndpointId): String = when (this) {
    RefusalReason.QUEUE_FULL -> "queue of endpoint $endpoint is full for this workspace"
    RefusalReason.TOO_LATE -> "request is predicted to miss its wait or first-token limit at endpoint $endpoint"
}
