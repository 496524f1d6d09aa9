/** Refuses requests to model engines that cannot be served in time, and tells their callers when to return. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.Candidates
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Placement
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import pistachiopass.shortage.CallerKey
import pistachiopass.shortage.CandidateLoad
import pistachiopass.shortage.PendingRequest
import pistachiopass.shortage.Refusal
import pistachiopass.shortage.RefusalDecision
import pistachiopass.shortage.ShortageCounts
import pistachiopass.shortage.ShortageOutcome
import pistachiopass.shortage.WorkspaceShares
import pistachiopass.shortage.outcome

/** Promises to callers that were refused, the usage of workspaces, and counts for metrics. */
internal class DemandRecords(val decision: RefusalDecision, val shares: WorkspaceShares) {
    val counts = ShortageCounts()
}

/**
 * Applies the decision of [demand] to requests that [placement] has assigned. Services without model engines have no
 * forecast, and nothing is refused there.
 */
internal class LoadShedding(
    val placement: Placement,
    private val demand: DemandRecords,
    private val load: FleetLoad,
    private val endpoints: SharedEndpoints,
    private val log: RequestLog,
    private val nowMillis: () -> Long,
) {
    /**
     * Returns the failure of [request] if it is refused instead of being sent by [assignment], or null. A request that
     * was sent before, or that resumes a stream, is not refused, since its work has begun.
     */
    fun refusalOrNull(request: ForwardedRequest, assignment: Assignment, candidates: Candidates): Failure? {
        val isNew = request.attempts == 0 && request.metadata.lastEventId == null
        val isFirst = isNew && hasForecast(request)
        return if (isFirst) firstRefusalOrNull(request, assignment, loadOf(request, candidates)) else null
    }

    private fun firstRefusalOrNull(request: ForwardedRequest, assignment: Assignment, load: CandidateLoad): Failure? {
        val workMillis = assignment.estimates.sumOf { it.prefillMillis + it.decodeMillis }
        demand.shares.asked(request.admitted.workspaceHash, request.admitted.rank, workMillis)
        val pending = pendingOf(request, assignment.forecastMillis, load)
        request.isPromised = demand.decision.isReturn(pending.caller)
        if (request.isPromised) demand.counts.add(pending.rank, ShortageOutcome.RETURNED)
        val refusal = demand.decision.refusalOrNull(pending, load)
        if (refusal == null) {
            demand.counts.add(pending.rank, ShortageOutcome.PLACED)
            demand.decision.onSent(pending.caller)
            demand.shares.placed(request.admitted.workspaceHash, request.admitted.rank, workMillis)
            return null
        }
        recordRefusal(request, pending, refusal)
        return Failure(
            FailureCode.OVERLOADED,
            Verdict.NOT_RUN,
            "the model engines of service ${request.admitted.service.name} have no capacity in time",
            retryAfterMillis = refusal.retryAfterMillis,
        )
    }

    /**
     * Returns [failure], the last one of [request], with a forecast retry time if an engine did not run the request and
     * the engines are busy; otherwise its own retry time is kept.
     */
    fun withRetryTime(request: ForwardedRequest, failure: Failure, candidates: Candidates): Failure {
        val isOfEngine = failure.endpoint != null && failure.verdict == Verdict.NOT_RUN && request.hasNotRun
        val load = if (isOfEngine && hasForecast(request)) loadOf(request, candidates) else null
        if (load == null || load.isIdle) return failure
        val pending = pendingOf(request, forecastMillis = 0.0, load)
        val refusal = demand.decision.refusalOfEngines(pending, load)
        recordRefusal(request, pending, refusal)
        return failure.copy(retryAfterMillis = refusal.retryAfterMillis)
    }

    /** Records that [request] was answered in full. */
    fun onServed(request: ForwardedRequest) {
        if (hasForecast(request)) demand.counts.add(request.admitted.rank, ShortageOutcome.SERVED)
    }

    private fun recordRefusal(request: ForwardedRequest, pending: PendingRequest, refusal: Refusal) {
        demand.counts.add(pending.rank, refusal.reason.outcome)
        log.shed(request, pending, refusal)
    }

    private fun hasForecast(request: ForwardedRequest): Boolean =
        request.admitted.service.engine != null && request.metadata.tokenCounts != null

    private fun pendingOf(request: ForwardedRequest, forecastMillis: Double, load: CandidateLoad): PendingRequest {
        val admitted = request.admitted
        return PendingRequest(
            CallerKey("${admitted.workspace}|${admitted.route.name}|${request.metadata.tokenCounts}"),
            admitted.rank,
            admitted.table.ranksOf(admitted.service.name).count { it < admitted.rank },
            forecastMillis,
            request.remainingMillis(),
            admitted.table.shortestTimeoutMillisOrNull(admitted.service.name) ?: admitted.route.timeoutMillis,
            request.elapsedMillis(),
            if (load.isIdle) 1.0 else demand.shares.ratioOf(admitted.workspaceHash, admitted.rank),
        )
    }

    private fun loadOf(request: ForwardedRequest, candidates: Candidates): CandidateLoad {
        val now = nowMillis()
        var free = 0
        var total = 0
        var waiting = 0
        var placed = 0
        var slotMillis = 0.0
        val own = (candidates.home + candidates.overflow).ifEmpty { candidates.all }
        for (endpoint in own) {
            val work = load.at(endpoint.published.incarnation)
            val unused = endpoint.published.slots - work.requestsAt(now)
            total += endpoint.published.slots
            if (unused > 0) free += unused else waiting -= unused
            placed += work.placed.size
            slotMillis += work.placed.sumOf { it.estimate.prefillMillis + it.estimate.decodeMillis }
        }
        val sharing = own.firstOrNull()?.let { endpoints.audienceOf(request.admitted.service, it).size } ?: 0
        return CandidateLoad(free, total, waiting, slotMillis / placed, sharing + 1)
    }
}
