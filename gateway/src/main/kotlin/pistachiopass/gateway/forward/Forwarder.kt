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
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.model.RequestFacts
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.placement.Placement
import pistachiopass.gateway.state.Beliefs
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Serves callers' requests. */
internal class Forwarder(
    private val wire: WireFormat,
    private val beliefs: Beliefs,
    private val admission: Admission,
    private val placement: Placement,
    private val repeats: RepeatBudget,
    private val sender: Sender,
    private val log: EventLog = EventLog,
) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val facts = wire.readRequest(exchange.request.headers()).getOrElse {
            exchange.refuse(Failure(FailureCode.BAD_REQUEST, Verdict.NOT_RUN, it))
            return
        }
        val admitted = admit(exchange, facts).getOrElse {
            finish(exchange, facts, it)
            return
        }
        repeats.onRequest(admitted.service.name)
        val work = RequestWork(exchange, facts, admitted, wire)
        val failure = withTimeoutOrNull(work.leftMillis()) { Ended(run(work)) }?.let { it.failure } ?: work.timeoutOrNull()
        when {
            work.isAnswered -> logFinished(work)
            work.hasBegun -> {
                exchange.abort()
                logFailed(facts, failure ?: work.interrupted(), work)
            }
            else -> {
                val told = failure ?: work.interrupted()
                exchange.refuse(told)
                logFailed(facts, told, work)
            }
        }
    }

    /** Distinguishes an end without a failure from the end of the time. */
    private class Ended(val failure: Failure?)

    private fun admit(exchange: CallerExchange, facts: RequestFacts): Result<Admitted, Failure> {
        val host = exchange.request.headers().get(HttpHeaderNames.HOST).substringBefore(':')
        return admission.admit(facts, host, exchange.request.uri().substringBefore('?'))
    }

    private suspend fun run(work: RequestWork): Failure? {
        while (true) {
            val place = placeOrNull(work) ?: return work.lastFailure ?: noEndpoint(work)
            val attempt = sender.attempt(work, place)
            work.record(attempt)
            when (attempt) {
                is Attempt.Answered -> return null
                is Attempt.Failed -> {
                    work.exclude(attempt.endpoint)
                    if (!mayTryAgain(work, attempt)) return work.deliverFallbackOr(attempt.failure)
                    log.log(
                        Event.RETRY,
                        work.facts.id,
                        field("endpoint", attempt.endpoint.endpoint),
                        field("code", attempt.failure.code),
                        field("verdict", attempt.failure.verdict),
                        field("runs", work.runs),
                    )
                }
            }
        }
    }

    private fun placeOrNull(work: RequestWork): Place? {
        val endpoints = beliefs.endpointsOf(work.admitted.service.name).filter { sender.mayReceive(it, work) }
        val place = placement.chooseOrNull(work.ask(), endpoints) ?: return null
        log.log(
            Event.ENDPOINT_CHOSEN,
            work.facts.id,
            field("endpoint", place.endpoint.id),
            field("route", work.admitted.route.name),
            field("helpers", place.helpers.size),
            field("forecastMillis", place.forecastMillis.toLong()),
            field("elapsedMillis", work.elapsedMillis()),
            field("candidates", endpoints.size),
            field("version", work.admitted.table.version),
            field("proofAgeMillis", beliefs.proofAgeMillisOrNull() ?: -1),
        )
        return place
    }

    private fun mayTryAgain(work: RequestWork, attempt: Attempt.Failed): Boolean {
        val route = work.admitted.route
        val isAllowed = attempt.failure.verdict == Verdict.NOT_RUN ||
            (route.runLimit.mayRepeat && work.runs < route.attemptsMax)
        val hasTime = work.leftMillis() > TIME_FOR_ANOTHER_MILLIS && work.tries < TRIES_MAX
        return isAllowed && hasTime && attempt.isFinal.not() &&
            (!attempt.hasArrived || repeats.tryTake(work.admitted.service.name))
    }

    private fun noEndpoint(work: RequestWork): Failure = Failure(
        FailureCode.NO_ENDPOINT,
        Verdict.NOT_RUN,
        "no endpoint of ${work.admitted.service.name} can take the request",
        retryAfterMillis = RETRY_AFTER_MILLIS,
    )

    private fun finish(exchange: CallerExchange, facts: RequestFacts, failure: Failure) {
        exchange.refuse(failure)
        log.log(
            Event.REQUEST_FAILED,
            facts.id,
            field("code", failure.code),
            field("verdict", failure.verdict),
            field("version", beliefs.table?.version?.value ?: -1),
            field("proofAgeMillis", beliefs.proofAgeMillisOrNull() ?: -1),
        )
    }

    private fun logFinished(work: RequestWork) = log.log(
        Event.REQUEST_FINISHED,
        work.facts.id,
        field("route", work.admitted.route.name),
        field("status", work.answeredStatus),
        field("firstMillis", work.firstMillis ?: -1),
        field("totalMillis", work.elapsedMillis()),
        field("tries", work.tries),
    )

    private fun logFailed(facts: RequestFacts, failure: Failure, work: RequestWork) = log.log(
        Event.REQUEST_FAILED,
        facts.id,
        field("route", work.admitted.route.name),
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("isBegun", work.hasBegun),
        field("tries", work.tries),
        field("totalMillis", work.elapsedMillis()),
    )
}

/** Time below which sending once more is of no use. */
private const val TIME_FOR_ANOTHER_MILLIS: Long = 30

/** Endpoints that are tried for one request, refusals included. */
private const val TRIES_MAX: Int = 4

/** Time after which a caller is asked to come back when no endpoint is published. */
private const val RETRY_AFTER_MILLIS: Long = 500
