/**
 * Retries requests that no endpoint has run.
 *
 * A request is retried only if its endpoint could not be reached or refused it, and the retry excludes that endpoint. A
 * refusal by this instance or by the owner of the endpoint's leases is returned to the caller, since a retry would be
 * refused again at once. A request that may have run is never sent again.
 */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.requireMetadata
import pistachiopass.entry.http.requireTarget
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.metrics.Metrics
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.Verdict
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Retries within [budget] and the request's deadline, after a jittered delay that doubles with each attempt. */
public class RetryFilter(
    private val budget: RetryBudget,
    private val metrics: Metrics,
    private val random: Random = Random.Default,
    private val log: EventLog = EventLog,
) : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> {
        budget.onRequest()
        return attempt(context, next, number = 1)
    }

    private suspend fun attempt(context: RequestContext, next: Handler, number: Int): Result<Completion, Failure> {
        val outcome = next.handle(context)
        val failed = outcome.getError()?.failedBeforeRunOrNull()
        val delayMillis = delayMillisAfter(number)
        if (failed == null || number == MAX_ATTEMPTS || !mayRetry(context, delayMillis)) return outcome
        record(context, failed, number + 1)
        delay(delayMillis)
        return attempt(context.without(failed), next, number + 1)
    }

    private fun delayMillisAfter(attempt: Int): Long {
        val minMillis = MIN_DELAY_MILLIS shl (attempt - 1)
        return minMillis + random.nextLong(minMillis + 1)
    }

    private fun mayRetry(context: RequestContext, delayMillis: Long): Boolean =
        !context.exchange.response.started &&
            (context.requireTarget().deadline - delayMillis.milliseconds).hasNotPassedNow() &&
            budget.tryTake()

    private fun record(context: RequestContext, failed: EndpointId, attempt: Int) {
        metrics.countRetry(context.requireTarget().route.name)
        log.log(Event.RETRY, context.exchange.requestId, field("endpoint", failed), field("attempt", attempt))
    }
}

private fun Failure.failedBeforeRunOrNull(): EndpointId? = endpoint.takeIf { verdict == Verdict.NOT_RUN }

private fun RequestContext.without(endpoint: EndpointId): RequestContext {
    val metadata = requireMetadata()
    return copy(metadata = metadata.copy(failedEndpoints = metadata.failedEndpoints + endpoint))
}

private const val MAX_ATTEMPTS: Int = 3
private const val MIN_DELAY_MILLIS: Long = 10
