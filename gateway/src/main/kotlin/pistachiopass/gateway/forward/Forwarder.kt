/**
 * Forwards requests: admits them, chooses endpoints, sends them, retries, and reports to the caller whether a failed
 * request may have run.
 *
 * A request that may have run is retried only if its route allows that. At the caller's deadline or the route's
 * timeout, whichever is first, the caller is answered at once.
 */
package pistachiopass.gateway.forward

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.model.RequestContent
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.Candidates
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Handles the requests of callers. */
internal class Forwarder(
    private val wire: WireFormat,
    private val admission: Admission,
    private val retries: RetryBudget,
    private val sender: Sender,
    private val shedding: LoadShedding,
    private val log: RequestLog,
) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val headers = wire.readRequest(exchange.request.headers()).getOrElse {
            exchange.respondWith(Failure(FailureCode.BAD_REQUEST, Verdict.NOT_RUN, it))
            return
        }
        val metadata = headers.copy(content = RequestContent { contentDigestOf(exchange, headers) })
        val admitted = admit(exchange, metadata).getOrElse {
            exchange.respondWith(it)
            log.refused(metadata, it)
            return
        }
        retries.onRequest(admitted.service.name)
        val resumedAfter = metadata.lastEventId?.toLongOrNull()
        val response = CallerResponse(exchange, wire, admitted.route.isStream, resumedAfter)
        val request = ForwardedRequest(exchange, metadata, admitted, response)
        val ended = try {
            withTimeoutOrNull(request.remainingMillis()) { Ended(run(request)) }
        } catch (e: CancellationException) {
            log.failed(request, request.callerGone())
            throw e
        }
        finish(request, if (ended == null) request.timeout() else ended.failure)
    }

    /** Result of a request that ended before its timeout; [failure] is null if the caller has a response. */
    private class Ended(val failure: Failure?)

    private fun admit(exchange: CallerExchange, metadata: RequestMetadata): Result<Admitted, Failure> {
        val host = exchange.request.headers().get(HttpHeaderNames.HOST).substringBefore(':')
        return admission.admit(metadata, host, exchange.request.uri().substringBefore('?'))
    }

    private fun finish(request: ForwardedRequest, failure: Failure?) {
        when {
            request.response.isDelivered || failure == null -> {
                shedding.onServed(request)
                log.finished(request)
            }
            request.response.hasBegun -> {
                request.exchange.abort()
                log.failed(request, failure)
            }
            else -> {
                request.exchange.respondWith(failure)
                log.failed(request, failure)
            }
        }
    }

    /** Refuses or sends the request; returns the failure, or null if the caller has a response. */
    private suspend fun run(request: ForwardedRequest): Failure? {
        val candidates = sender.candidatesFor(request)
        val assignment = shedding.placement.chooseOrNull(request.placementRequest(), candidates)
        val refusal = assignment?.let { shedding.refusalOrNull(request, it, candidates) }
        return refusal ?: send(request, assignment?.also { logPlaced(request, it, candidates) })
    }

    /** Sends the request until an attempt succeeds; returns the failure, or null if the caller has a response. */
    private suspend fun send(request: ForwardedRequest, first: Assignment?): Failure? {
        var assignment = first
        while (assignment != null) {
            val outcome = sender.attempt(request, assignment)
            request.record(outcome)
            if (outcome !is AttemptOutcome.Failed) return null
            assignment = if (mayRetry(request, outcome)) assignmentOrNull(request) else null
            if (assignment != null) log.retry(request, outcome)
        }
        val failure = request.lastFailure ?: noEndpoint(request)
        return if (request.response.deliverHeldError()) {
            null
        } else {
            request.withOverallVerdict(shedding.withRetryTime(request, failure, sender.candidatesFor(request)))
        }
    }

    private fun assignmentOrNull(request: ForwardedRequest): Assignment? {
        val candidates = sender.candidatesFor(request)
        return shedding.placement.chooseOrNull(request.placementRequest(), candidates)
            ?.also { logPlaced(request, it, candidates) }
    }

    private fun logPlaced(request: ForwardedRequest, assignment: Assignment, candidates: Candidates): Unit =
        log.placed(request, assignment, candidates.home.size + candidates.overflow.size)

    private fun mayRetry(request: ForwardedRequest, outcome: AttemptOutcome.Failed): Boolean {
        val route = request.admitted.route
        val isAllowed = outcome.failure.verdict == Verdict.NOT_RUN ||
            (route.runLimit.allowsRetry && request.runs < route.attemptsMax)
        val isUseful = !outcome.isFinal &&
            request.remainingMillis() > RETRY_REMAINING_MIN_MILLIS && request.attempts < ATTEMPTS_MAX
        return isAllowed && isUseful && (!outcome.hasReachedEndpoint || retries.tryTake(request.admitted.service.name))
    }
}

private fun noEndpoint(request: ForwardedRequest): Failure = Failure(
    FailureCode.NO_ENDPOINT,
    Verdict.NOT_RUN,
    "no endpoint of service ${request.admitted.service.name} can take the request",
    retryAfterMillis = NO_ENDPOINT_RETRY_AFTER_MILLIS,
)

/** Remaining time below which a retry is pointless. */
private const val RETRY_REMAINING_MIN_MILLIS: Long = 30

/** Attempts for one request, including those that endpoints refused; a route's limit counts only possible runs. */
private const val ATTEMPTS_MAX: Int = 4

/** Retry-After if no endpoint is available. */
private const val NO_ENDPOINT_RETRY_AFTER_MILLIS: Long = 500
