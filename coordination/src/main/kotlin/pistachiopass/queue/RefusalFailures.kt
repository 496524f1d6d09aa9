/** Failures that callers get for refusals of the queue. */
package pistachiopass.queue

import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Returns the failure for a request that the queue of [endpoint] did not take. */
public fun Refusal.toFailure(endpoint: EndpointId): Failure =
    Failure(FailureCode.OVERLOADED, Verdict.NOT_RUN, reason.messageFor(endpoint), retryAfterMillis)

private fun RefusalReason.messageFor(endpoint: EndpointId): String = when (this) {
    RefusalReason.QUEUE_FULL -> "the queue of endpoint $endpoint has no place for the workspace"
    RefusalReason.TOO_LATE -> "the first token from endpoint $endpoint is predicted to come after its limit"
}
