/**
 * Sends a request to an endpoint.
 *
 * What may have changed since the assignment is checked again immediately before the request is sent: whether the
 * endpoint may still get requests, whether the API key is still valid, and whether the limit of a cold endpoint allows
 * another request.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.IDLE_MAX_MILLIS
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.PrefillHelper
import pistachiopass.gateway.model.RunLimit
import pistachiopass.gateway.placement.Assignment
import pistachiopass.gateway.placement.Candidates
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.membership.MemberHost
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import pistachiopass.shortage.WorkspaceHash

/** Receives the requests that this instance has placed, and their ends, to send them to other instances. */
internal interface EstimateSink {
    fun placed(audience: List<MemberHost>, work: PlacedWork, workspace: WorkspaceHash)

    fun ended(audience: List<MemberHost>, work: PlacedWork)

    /** Sends nothing. */
    data object None : EstimateSink {
        override fun placed(audience: List<MemberHost>, work: PlacedWork, workspace: WorkspaceHash) = Unit

        override fun ended(audience: List<MemberHost>, work: PlacedWork) = Unit
    }
}

/** Load and health of endpoints, as recorded from the requests sent to them and from their responses. */
internal class EndpointRecords(
    val load: FleetLoad,
    val health: EndpointHealth,
    private val parts: PartAdmission,
    private val log: RequestLog,
    private val ages: StateAgeLog,
    val estimates: EstimateSink,
) {
    /** Records that [endpoint] answered [request] in full and with success. */
    fun onAnswered(request: ForwardedRequest, endpoint: EndpointIncarnation) {
        health.onSuccess(endpoint)
        parts.onAnswered(request.metadata)
    }

    /** Records that [request] is sent to [endpoint]. */
    fun onSent(request: ForwardedRequest, endpoint: EndpointIncarnation): Unit = ages.sent(request, endpoint)

    /** Records that [endpoint] sent [head] in the place of a response to [request]. */
    fun onSkipped(request: ForwardedRequest, endpoint: EndpointIncarnation, head: ResponseHead, exchanges: Int): Unit =
        log.skipped(request, endpoint, head, exchanges)

    /** Records that [endpoint] sent [head], whose status promises that [request] was not run, without stating it. */
    fun onUnconfirmedRefusal(request: ForwardedRequest, endpoint: EndpointIncarnation, head: ResponseHead) {
        health.onFailure(endpoint, ERROR_WEIGHT)
        log.unconfirmedRefusal(request, endpoint, head)
    }

    /** Records how engines answered to the orders to reserve memory for [request]. */
    fun onReserved(request: ForwardedRequest, outcome: ReservingOutcome): Unit = log.reserved(request, outcome)

    /** Records that [endpoint] sent no complete response to [request]. */
    fun onIncomplete(request: ForwardedRequest, endpoint: EndpointIncarnation, response: BrokenResponse) {
        health.onFailure(endpoint, INCOMPLETE_WEIGHT)
        log.broken(request, endpoint, response)
        parts.onBroken(request.metadata, endpoint, response)
    }
}

internal class SenderContext(
    val wire: WireFormat,
    val endpoints: SharedEndpoints,
    val admission: Admission,
    val cold: ColdBudget,
    val records: EndpointRecords,
    val reservations: Reservations,
)

/** Makes attempts over pooled connections. */
internal class Sender(private val pool: UpstreamPool<EndpointIncarnation>, private val context: SenderContext) {
    /** Returns the endpoints that [request] may be sent to now. */
    fun candidatesFor(request: ForwardedRequest): Candidates =
        context.endpoints.candidatesOf(request.admitted.service) { mayReceive(it, request) }

    private fun mayReceive(endpoint: KnownEndpoint, request: ForwardedRequest): Boolean =
        context.endpoints.isUsable(endpoint) &&
            context.cold.maySend(endpoint, request.admitted.service.coldRequestsPerSecond)

    /** Sends [request] to the endpoint of [assignment] and forwards the response to the caller. */
    suspend fun attempt(request: ForwardedRequest, assignment: Assignment): AttemptOutcome {
        val load = AttemptLoad(request, context)
        try {
            if (assignment.reservedTokens > 0) return sendReserved(request, assignment, load)
            load.add(assignment)
            return send(EndpointAttempt(request, assignment, load.placed), helpersOf(assignment))
        } finally {
            load.end()
        }
    }

    private suspend fun sendReserved(
        request: ForwardedRequest,
        requested: Assignment,
        load: AttemptLoad,
    ): AttemptOutcome {
        val allowedMillis = (request.remainingMillis() * RESERVING_FRACTION).toLong()
        val reservation = context.reservations.reserveOrNull(request.metadata.id, requested, allowedMillis, load)
            ?: return notRunOutcome(
                requested,
                FailureCode.OVERLOADED,
                "too few engines reserved memory for ${requested.reservedTokens} tokens each",
                isFinal = true,
            )
        try {
            val assignment = reservation.assignment
            val first = PrefillHelper(assignment.endpoint.id, assignment.endpoint.published.address, reservation.id)
            val attempt = EndpointAttempt(request, assignment, load.placed)
            return send(attempt, listOf(first) + helpersOf(assignment, reservation.id))
        } finally {
            reservation.release()
        }
    }

    private suspend fun send(attempt: EndpointAttempt, helpers: List<PrefillHelper>): AttemptOutcome {
        val endpoint = attempt.assignment.endpoint
        val address = endpoint.published.address
        val connection =
            pool.acquireOrNull(attempt.incarnation, address, idleMaxMillis(attempt), attempt.request.connections)
        if (connection == null) {
            context.records.health.onFailure(attempt.incarnation, UNREACHABLE_WEIGHT)
            return notRunOutcome(attempt.assignment, FailureCode.NO_ENDPOINT, "the endpoint accepts no connection")
        }
        try {
            return refusalOrNull(attempt) ?: exchange(attempt, connection, helpers)
        } finally {
            pool.release(attempt.incarnation, connection)
        }
    }

    private suspend fun exchange(
        attempt: EndpointAttempt,
        connection: UpstreamConnection,
        helpers: List<PrefillHelper>,
    ): AttemptOutcome {
        val request = attempt.request
        context.cold.onSent(attempt.assignment.endpoint)
        context.records.onSent(request, attempt.incarnation)
        request.mayBeRunning = true
        request.connections += connection
        val handler = ResponseHandler(attempt, connection, context)
        connection.send(
            forwardHeadOf(request, attempt.assignment, helpers, context.wire),
            request.exchange.body.retainedDuplicate(),
            handler.reader,
        )
        return handler.run()
    }

    private fun refusalOrNull(attempt: EndpointAttempt): AttemptOutcome? {
        val assignment = attempt.assignment
        val refusal = context.admission.refusalOrNull(attempt.request.admitted, attempt.request.metadata)
        return when {
            refusal != null ->
                AttemptOutcome.Failed(attempt.incarnation, refusal, hasReachedEndpoint = false, isFinal = true)
            !mayReceive(assignment.endpoint, attempt.request) ||
                !assignment.helpers.all(context.endpoints::isUsable) ->
                notRunOutcome(assignment, FailureCode.NO_ENDPOINT, "the endpoint or a helper gets no new requests")
            else -> null
        }
    }

    private fun idleMaxMillis(attempt: EndpointAttempt): Long =
        if (attempt.request.admitted.route.runLimit == RunLimit.ONCE) RUN_ONCE_IDLE_MAX_MILLIS else IDLE_MAX_MILLIS

    private fun helpersOf(assignment: Assignment, reservation: String? = null): List<PrefillHelper> =
        assignment.helpers.map { PrefillHelper(it.id, it.published.address, reservation) }

    private fun notRunOutcome(
        assignment: Assignment,
        code: FailureCode,
        message: String,
        isFinal: Boolean = false,
    ): AttemptOutcome.Failed =
        AttemptOutcome.Failed(
            assignment.endpoint.published.incarnation,
            Failure(
                code,
                Verdict.NOT_RUN,
                message,
                retryAfterMillis = BUSY_RETRY_AFTER_MILLIS,
                endpoint = assignment.endpoint.id,
            ),
            hasReachedEndpoint = false,
            isFinal,
        )
}

/**
 * Part of the remaining time of a request within which further engines are asked for memory. With 12 s left, three
 * engines that do not answer within the 500 ms of an order can be replaced in turn.
 */
private const val RESERVING_FRACTION: Double = 0.15

/**
 * Idle time up to which a pooled connection is used for a request that must not run twice: the endpoint is unlikely to
 * close it at the same moment.
 */
private const val RUN_ONCE_IDLE_MAX_MILLIS: Long = 1_000

/** Weights of failures in the failure score of an endpoint; a weight of 1 makes it suspected at once. */
private const val UNREACHABLE_WEIGHT: Double = 2.0
private const val INCOMPLETE_WEIGHT: Double = 0.7

/** Retry-After if an endpoint had no capacity. */
internal const val BUSY_RETRY_AFTER_MILLIS: Long = 400
