/** Log lines about the decisions on requests. */
package pistachiopass.gateway.forward

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.state.KnownState
import pistachiopass.model.Failure
import pistachiopass.shortage.PendingRequest
import pistachiopass.shortage.Refusal

/** Logs the decisions on requests, with the age of [knownState] where a decision depends on it. */
internal class RequestLog(private val log: EventLog, private val knownState: KnownState) {
    /** Logs that a request was not admitted, with the version and the age of the routing table, or the part refused. */
    fun refused(metadata: RequestMetadata, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        metadata.id,
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("version", knownState.table?.version?.value ?: -1),
        field("proofAgeMillis", knownState.tableAgeMillisOrNull() ?: -1),
        tokenField("part", failure.part?.value ?: "none"),
    )

    /** Logs the endpoint that a request was assigned to, with its rank and the forecast that led to the choice. */
    fun placed(request: ForwardedRequest, assignment: Assignment, candidates: Int) = log.log(
        Event.ENDPOINT_CHOSEN,
        request.metadata.id,
        field("endpoint", assignment.endpoint.id),
        field("route", request.admitted.route.name),
        field("rank", request.admitted.rank.value),
        tokenField("workspace", request.admitted.workspace?.value ?: "none"),
        field("helpers", assignment.helpers.size),
        field("forecastMillis", assignment.forecastMillis.toLong()),
        field("readMillis", assignment.estimates.first().prefillMillis.toLong()),
        field("elapsedMillis", request.elapsedMillis()),
        field("candidates", candidates),
        field("version", request.admitted.table.version),
        field("proofAgeMillis", knownState.tableAgeMillisOrNull() ?: -1),
    )

    /** Logs that [request] was refused for lack of capacity, with what the decision was based on. */
    fun shed(request: ForwardedRequest, pending: PendingRequest, refusal: Refusal) = log.log(
        Event.PLACEMENT_REFUSED,
        request.metadata.id,
        field("route", request.admitted.route.name),
        tokenField("workspace", request.admitted.workspace?.value ?: "none"),
        tokenField("reason", refusal.reason.text),
        field("rank", pending.rank.value),
        field("sharePercent", (pending.shareRatio * PERCENT).toLong()),
        field("forecastMillis", refusal.forecastMillis.toLong()),
        field("remainingMillis", pending.remainingMillis),
        field("retryAfterMillis", refusal.retryAfterMillis),
        field("elapsedMillis", pending.elapsedMillis),
        field("tries", request.attempts),
    )

    /** Logs a response that broke off or did not come, with the suspects of its request. */
    fun broken(request: ForwardedRequest, endpoint: EndpointIncarnation, response: BrokenResponse) = log.log(
        Event.ATTEMPT_BROKEN,
        request.metadata.id,
        field("endpoint", endpoint.endpoint),
        field("bornMillis", endpoint.bornMillis),
        tokenField("connection", response.failure?.name?.lowercase() ?: "open"),
        field("hasHead", response.hasHead),
        field("sentMillis", response.sentMillis),
        field("decodeMillis", response.decodeMillis ?: -1),
        tokenField("parts", request.metadata.sharedParts.joinToString(".").ifEmpty { "none" }),
        tokenField("content", request.metadata.content.part.value),
    )

    /** Logs that [head] of [endpoint] was not passed on, as its status would promise that [request] was not run. */
    fun unconfirmedRefusal(request: ForwardedRequest, endpoint: EndpointIncarnation, head: ResponseHead) = log.log(
        Event.REFUSAL_UNCONFIRMED,
        request.metadata.id,
        field("endpoint", endpoint.endpoint),
        field("status", head.status),
        field("isStamped", head.metadata.isStamped),
    )

    /** Logs that [head] of [endpoint] was skipped, as it does not name [request]. */
    fun skipped(request: ForwardedRequest, endpoint: EndpointIncarnation, head: ResponseHead, exchanges: Int) = log.log(
        Event.RESPONSE_SKIPPED,
        request.metadata.id,
        field("endpoint", endpoint.endpoint),
        field("status", head.status),
        tokenField("names", head.metadata.requestId?.value ?: "none"),
        field("exchanges", exchanges),
    )

    /** Logs how engines answered to the orders to reserve memory for [request]. */
    fun reserved(request: ForwardedRequest, outcome: ReservingOutcome) = log.log(
        Event.MEMORY_RESERVED,
        request.metadata.id,
        field("isGranted", outcome.isGranted),
        field("asked", outcome.asked),
        field("refused", outcome.refused),
        field("unanswered", outcome.unanswered),
        field("replaced", outcome.replaced),
        field("totalMillis", outcome.totalMillis),
    )

    /** Logs a retry, with the failure of the attempt before it. */
    fun retry(request: ForwardedRequest, outcome: AttemptOutcome.Failed) = log.log(
        Event.RETRY,
        request.metadata.id,
        field("endpoint", outcome.endpoint.endpoint),
        field("code", outcome.failure.code),
        field("verdict", outcome.failure.verdict),
        field("runs", request.runs),
    )

    /** Logs a request that got a complete response. */
    fun finished(request: ForwardedRequest) = log.log(
        Event.REQUEST_FINISHED,
        request.metadata.id,
        field("route", request.admitted.route.name),
        field("status", request.response.status),
        tokenField("endpoint", request.response.source?.endpoint?.value ?: "none"),
        field("exchanges", request.response.source?.exchanges ?: 0),
        field("firstMillis", request.firstByteMillis()),
        field("pauseMillis", request.response.relay?.longestGapMillis ?: 0),
        field("totalMillis", request.elapsedMillis()),
        field("tries", request.attempts),
    )

    /** Logs a failed request, with the failure that was reported to the caller. */
    fun failed(request: ForwardedRequest, failure: Failure) = log.log(
        Event.REQUEST_FAILED,
        request.metadata.id,
        field("route", request.admitted.route.name),
        field("code", failure.code),
        field("verdict", failure.verdict),
        field("isBegun", request.response.hasBegun),
        field("tries", request.attempts),
        field("totalMillis", request.elapsedMillis()),
    )
}

/** Logs the requests that are sent while [knownState] is old. */
internal class StateAgeLog(private val log: EventLog, private val knownState: KnownState) {
    /** Logs that [request] was sent to [endpoint] on a state that was not confirmed lately; others are not logged. */
    fun sent(request: ForwardedRequest, endpoint: EndpointIncarnation) {
        val ageMillis = knownState.freshness.ageMillisOrNull() ?: return
        if (ageMillis <= OLD_STATE_MILLIS) return
        log.log(
            Event.STATE_OLD_AT_SEND,
            request.metadata.id,
            field("endpoint", endpoint.endpoint),
            field("proofAgeMillis", ageMillis),
            field("elapsedMillis", request.elapsedMillis()),
        )
    }
}

private const val PERCENT: Double = 100.0

/** Age of the state that nothing but a fault or a stalled event loop exceeds. */
private const val OLD_STATE_MILLIS: Long = 1_500
