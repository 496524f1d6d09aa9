/** Log lines of the decisions on one request. */
package pistachiopass.gateway.forward

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.model.RequestFacts
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.state.KnownState
import pistachiopass.model.Failure

/** Writes the decisions on requests to [log], with the age of the proof of [knownState]. */
internal class RequestLog(private val log: EventLog, private val knownState: KnownState) {
    /** Writes that a request was not let in, by which configuration and how old its proof was. */
    fun refused(facts: RequestFacts, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        facts.id,
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("version", knownState.table?.version?.value ?: -1),
        field("proofAgeMillis", knownState.freshness.ageMillisOrNull() ?: -1),
    )

    /** Writes where a request was placed, and by what forecast. */
    fun placed(request: ForwardedRequest, assignment: Assignment, candidates: Int) = log.log(
        Event.ENDPOINT_CHOSEN,
        request.facts.id,
        field("endpoint", assignment.endpoint.id),
        field("route", request.admitted.route.name),
        field("helpers", assignment.helpers.size),
        field("forecastMillis", assignment.forecastMillis.toLong()),
        field("readMillis", assignment.estimates.first().prefillMillis.toLong()),
        field("elapsedMillis", request.elapsedMillis()),
        field("candidates", candidates),
        field("version", request.admitted.table.version),
        field("proofAgeMillis", knownState.freshness.ageMillisOrNull() ?: -1),
    )

    /** Writes that a request is sent again, and why. */
    fun retry(request: ForwardedRequest, outcome: AttemptOutcome.Failed) = log.log(
        Event.RETRY,
        request.facts.id,
        field("endpoint", outcome.endpoint.endpoint),
        field("code", outcome.failure.code),
        field("verdict", outcome.failure.verdict),
        field("runs", request.runs),
    )

    /** Writes that a request was answered in full. */
    fun finished(request: ForwardedRequest) = log.log(
        Event.REQUEST_FINISHED,
        request.facts.id,
        field("route", request.admitted.route.name),
        field("status", request.response.status),
        field("firstMillis", request.firstByteMillis()),
        field("pauseMillis", request.response.relay?.longestGapMillis ?: 0),
        field("totalMillis", request.elapsedMillis()),
        field("tries", request.attempts),
    )

    /** Writes that a request failed, and what its caller was told. */
    fun failed(request: ForwardedRequest, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        request.facts.id,
        field("route", request.admitted.route.name),
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("isBegun", request.response.hasBegun),
        field("tries", request.attempts),
        field("totalMillis", request.elapsedMillis()),
    )
}
