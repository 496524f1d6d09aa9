/** The state of one request while it is forwarded: its remaining time, its attempts and whether it may have run. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.NANOS_PER_MILLI
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.placement.PlacementRequest
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** The outcome of one attempt to have a request answered by an endpoint. */
internal sealed interface AttemptOutcome {
    /** The caller has the endpoint's complete response. */
    data object Answered : AttemptOutcome

    class Failed(
        val endpoint: EndpointIncarnation,
        val failure: Failure,
        /** The request was sent to an endpoint, whether that ran it or not. */
        val hasReachedEndpoint: Boolean,
        /** A retry at another endpoint would fail as well. */
        val isFinal: Boolean = false,
    ) : AttemptOutcome
}

/** An admitted request. */
internal class ForwardedRequest(
    val exchange: CallerExchange,
    val metadata: RequestMetadata,
    val admitted: Admitted,
    val response: CallerResponse,
) {
    private val route = admitted.route
    private val limitMillis = minOf(metadata.remainingMillis ?: Long.MAX_VALUE, route.timeoutMillis)
    private val excluded = HashSet<EndpointIncarnation>()

    /** Connections that have carried the request: a late response to an earlier attempt names the request as well. */
    val connections: MutableSet<UpstreamConnection> = HashSet()

    /** Attempts so far that may have run the request. */
    var runs: Int = 0
        private set

    var attempts: Int = 0
        private set

    /** An attempt is in progress that may have run the request. */
    var mayBeRunning: Boolean = false

    /** The caller was refused before and has returned at the time that was promised to it. */
    var isPromised: Boolean = false

    var lastFailure: Failure? = null
        private set

    /** Is true if the route allows one more run after the one in progress. */
    val mayRunAgain: Boolean get() = route.runLimit.allowsRetry && runs + 1 < route.attemptsMax

    /** Is true if no endpoint may have run the request. */
    val hasNotRun: Boolean get() = runs == 0 && !mayBeRunning

    fun elapsedMillis(): Long = (System.nanoTime() - exchange.arrivedNanos) / NANOS_PER_MILLI

    /** Returns the time from the arrival of the request to the first byte of the response, or -1. */
    fun firstByteMillis(): Long = response.firstByteNanos?.let { (it - exchange.arrivedNanos) / NANOS_PER_MILLI } ?: -1

    /** Returns the time until the deadline of the caller or the timeout of the route, whichever is first. */
    fun remainingMillis(): Long = limitMillis - elapsedMillis()

    fun placementRequest(): PlacementRequest =
        PlacementRequest(
            route,
            admitted.service,
            metadata.tokenCounts,
            elapsedMillis(),
            excluded,
            admitted.table.gapTargetMinMillis(admitted.service.name)
        )

    /** Records the outcome of an attempt. */
    fun record(outcome: AttemptOutcome) {
        attempts++
        mayBeRunning = false
        if (outcome !is AttemptOutcome.Failed) return
        lastFailure = outcome.failure
        excluded += outcome.endpoint
        if (outcome.failure.verdict != Verdict.NOT_RUN) runs++
    }

    /** Returns [failure] with the verdict over all attempts: "not run" only if none of them may have run. */
    fun withOverallVerdict(failure: Failure): Failure =
        if (hasNotRun) failure else failure.copy(verdict = Verdict.MAY_HAVE_RUN, retryAfterMillis = null)

    /** Returns the failure that is reported when the time for the request has elapsed. */
    fun timeout(): Failure =
        withOverallVerdict(
            Failure(FailureCode.TIMEOUT, Verdict.NOT_RUN, "the request did not complete within $limitMillis ms"),
        )

    /** Returns the failure that is logged if the request is cancelled before its response is complete. */
    fun callerGone(): Failure =
        withOverallVerdict(
            Failure(FailureCode.CALLER_GONE, Verdict.NOT_RUN, "the caller disconnected or the instance stopped"),
        )
}
