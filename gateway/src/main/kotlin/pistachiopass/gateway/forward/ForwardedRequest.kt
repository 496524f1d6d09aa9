/** The state of one request on its way: its time, where it was sent, and what may have run. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.RequestFacts
import pistachiopass.gateway.placement.PlacementRequest
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Tells how one sending of a request ended. */
internal sealed interface AttemptOutcome {
    /** The caller has the endpoint's whole answer. */
    data object Answered : AttemptOutcome

    class Failed(
        val endpoint: Incarnation,
        val failure: Failure,
        /** The request reached an endpoint, whether that ran it or not. */
        val hasReachedEndpoint: Boolean,
        /** No other endpoint can help. */
        val isFinal: Boolean = false,
    ) : AttemptOutcome
}

/** One request that was let in. */
internal class ForwardedRequest(
    val exchange: CallerExchange,
    val facts: RequestFacts,
    val admitted: Admitted,
    val response: CallerResponse,
) {
    private val route = admitted.route
    private val limitMillis = minOf(facts.remainingMillis ?: Long.MAX_VALUE, route.timeoutMillis)
    private val excluded = HashSet<Incarnation>()

    /** Sendings so far that may have run. */
    var runs: Int = 0
        private set

    /** Sendings so far. */
    var attempts: Int = 0
        private set

    /** A sending is in progress and may have run. */
    var mayBeRunning: Boolean = false

    var lastFailure: Failure? = null
        private set

    /** Is true if the route allows one more run beside one that is in progress. */
    val mayRunAgain: Boolean get() = route.runLimit.mayRepeat && runs + 1 < route.attemptsMax

    fun elapsedMillis(): Long = (System.nanoTime() - exchange.arrivedNanos) / NANOS_PER_MILLI

    /** Returns the time from arrival to the first byte of the answer, or -1. */
    fun firstByteMillis(): Long = response.firstByteNanos?.let { (it - exchange.arrivedNanos) / NANOS_PER_MILLI } ?: -1

    /** Returns the time until the caller is to have its final answer. */
    fun remainingMillis(): Long = limitMillis - elapsedMillis()

    fun placementRequest(): PlacementRequest =
        PlacementRequest(route, admitted.service, facts.prompt, elapsedMillis(), excluded)

    /** Takes the end of a sending into account. */
    fun record(outcome: AttemptOutcome) {
        attempts++
        mayBeRunning = false
        if (outcome !is AttemptOutcome.Failed) return
        lastFailure = outcome.failure
        excluded += outcome.endpoint
        if (outcome.failure.verdict != Verdict.NOT_RUN) runs++
    }

    /** Returns [failure] with the verdict over all sendings: "not run" only if none may have run. */
    fun withOverallVerdict(failure: Failure): Failure =
        if (runs > 0 || mayBeRunning) failure.copy(verdict = Verdict.MAY_HAVE_RUN, retryAfterMillis = null) else failure

    /** Returns what the caller is told when the time is over. */
    fun timeout(): Failure =
        withOverallVerdict(Failure(FailureCode.TIMEOUT, Verdict.NOT_RUN, "the time for the request is over"))

    /** Returns what is recorded if the caller leaves before its answer has ended. */
    fun callerGone(): Failure =
        withOverallVerdict(Failure(FailureCode.CALLER_GONE, Verdict.NOT_RUN, "the caller left or the instance stopped"))
}

private const val NANOS_PER_MILLI: Long = 1_000_000
