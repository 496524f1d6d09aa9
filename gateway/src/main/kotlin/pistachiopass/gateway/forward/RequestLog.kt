/** Log lines of the decisions on one request. */
package pistachiopass.gateway.forward

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.state.Beliefs
import pistachiopass.model.Failure

/** Writes the decisions on requests to [log], with the age of the proof of [beliefs]. */
internal class RequestLog(private val log: EventLog, private val beliefs: Beliefs) {
    /** Writes that a request was not let in, by which configuration and how old its proof was. */
    fun refused(metadata: RequestMetadata, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        metadata.id,
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("version", beliefs.table?.version?.value ?: -1),
        field("proofAgeMillis", beliefs.proofs.ageMillisOrNull() ?: -1),
    )

    /** Writes where a request was placed, and by what forecast. */
    fun placed(work: RequestWork, place: Place, candidates: Int) = log.log(
        Event.ENDPOINT_CHOSEN,
        work.metadata.id,
        field("endpoint", place.endpoint.id),
        field("route", work.admitted.route.name),
        field("helpers", place.helpers.size),
        field("forecastMillis", place.forecastMillis.toLong()),
        field("readMillis", place.hints.first().readMillis.toLong()),
        field("elapsedMillis", work.elapsedMillis()),
        field("candidates", candidates),
        field("version", work.admitted.table.version),
        field("proofAgeMillis", beliefs.proofs.ageMillisOrNull() ?: -1),
    )

    /** Writes that a request is sent again, and why. */
    fun retry(work: RequestWork, attempt: Attempt.Failed) = log.log(
        Event.RETRY,
        work.metadata.id,
        field("endpoint", attempt.endpoint.endpoint),
        field("code", attempt.failure.code),
        field("verdict", attempt.failure.verdict),
        field("runs", work.runs),
    )

    /** Writes that a request was answered in full. */
    fun finished(work: RequestWork) = log.log(
        Event.REQUEST_FINISHED,
        work.metadata.id,
        field("route", work.admitted.route.name),
        field("status", work.answer.status),
        field("firstMillis", work.firstMillis()),
        field("pauseMillis", work.answer.relay?.longestPauseMillis ?: 0),
        field("totalMillis", work.elapsedMillis()),
        field("tries", work.tries),
    )

    /** Writes that a request failed, and what its caller was told. */
    fun failed(work: RequestWork, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        work.metadata.id,
        field("route", work.admitted.route.name),
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("isBegun", work.answer.hasBegun),
        field("tries", work.tries),
        field("totalMillis", work.elapsedMillis()),
    )
}
