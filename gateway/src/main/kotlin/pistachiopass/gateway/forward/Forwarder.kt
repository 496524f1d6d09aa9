/**
 * Forwards requests: lets them in, places them, sends them, and tells callers the truth about what became of them.
 *
 * A request that may have run is sent again only if its route allows that. Time runs out at the caller's deadline or
 * the route's timeout, whichever is first; the caller is then answered at once.
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
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.placement.Placement
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Serves callers' requests. */
internal class Forwarder(
    private val wire: WireFormat,
    private val admission: Admission,
    private val placement: Placement,
    private val repeats: RepeatBudget,
    private val sender: Sender,
    private val log: RequestLog,
) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val metadata = wire.readRequest(exchange.request.headers()).getOrElse {
            exchange.refuse(Failure(FailureCode.BAD_REQUEST, Verdict.NOT_RUN, it))
            return
        }
        val admitted = admit(exchange, metadata).getOrElse {
            exchange.refuse(it)
            log.refused(metadata, it)
            return
        }
        repeats.onRequest(admitted.service.name)
        val resumedAfter = metadata.lastEventId?.toLongOrNull()
        val answer = CallerAnswer(exchange, wire, admitted.route.isStream, resumedAfter)
        val work = RequestWork(exchange, metadata, admitted, answer)
        val ended = try {
            withTimeoutOrNull(work.leftMillis()) { Ended(run(work)) }
        } catch (e: CancellationException) {
            log.failed(work, work.callerGone())
            throw e
        }
        finish(work, if (ended == null) work.timeout() else ended.failure)
    }

    /** Distinguishes an end without a failure from the end of the time. */
    private class Ended(val failure: Failure?)

    private fun admit(exchange: CallerExchange, metadata: RequestMetadata): Result<Admitted, Failure> {
        val host = exchange.request.headers().get(HttpHeaderNames.HOST).substringBefore(':')
        return admission.admit(metadata, host, exchange.request.uri().substringBefore('?'))
    }

    private fun finish(work: RequestWork, failure: Failure?) {
        when {
            work.answer.isDelivered || failure == null -> log.finished(work)
            work.answer.hasBegun -> {
                work.exchange.abort()
                log.failed(work, failure)
            }
            else -> {
                work.exchange.refuse(failure)
                log.failed(work, failure)
            }
        }
    }

    /** Returns why the request could not be answered, or null if its caller has an answer. */
    private suspend fun run(work: RequestWork): Failure? {
        var place = placeOrNull(work)
        while (place != null) {
            val attempt = sender.attempt(work, place)
            work.record(attempt)
            if (attempt !is Attempt.Failed) return null
            place = if (mayTryAgain(work, attempt)) placeOrNull(work) else null
            if (place != null) log.retry(work, attempt)
        }
        val failure = work.lastFailure ?: noEndpoint(work)
        return if (work.answer.deliverKept()) null else work.overAll(failure)
    }

    private fun placeOrNull(work: RequestWork): Place? {
        val endpoints = sender.candidatesFor(work)
        return placement.chooseOrNull(work.ask(), endpoints)?.also { log.placed(work, it, endpoints.size) }
    }

    private fun mayTryAgain(work: RequestWork, attempt: Attempt.Failed): Boolean {
        val route = work.admitted.route
        val isAllowed = attempt.failure.verdict == Verdict.NOT_RUN ||
            (route.runLimit.allowsRetry && work.runs < route.attemptsMax)
        val isUseful = !attempt.isFinal && work.leftMillis() > TIME_FOR_ANOTHER_MILLIS && work.tries < TRIES_MAX
        return isAllowed && isUseful && (!attempt.hasArrived || repeats.tryTake(work.admitted.service.name))
    }
}

private fun noEndpoint(work: RequestWork): Failure = Failure(
    FailureCode.NO_ENDPOINT,
    Verdict.NOT_RUN,
    "no endpoint of ${work.admitted.service.name} can take the request",
    retryAfterMillis = RETRY_AFTER_MILLIS,
)

/** Time below which sending once more is of no use. */
private const val TIME_FOR_ANOTHER_MILLIS: Long = 30

/** Endpoints that are tried for one request, refusals included. */
private const val TRIES_MAX: Int = 4

/** Time after which a caller is asked to come back when no endpoint is published. */
private const val RETRY_AFTER_MILLIS: Long = 500
