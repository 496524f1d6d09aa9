/**
 * Sends one request to one endpoint.
 *
 * Whatever may have changed since the request was placed is looked at again immediately before the send: whether the
 * endpoint may still get work, whether the key still holds, and what a cold endpoint still bears.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.IDLE_MAX_MILLIS
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.PrefillHelper
import pistachiopass.gateway.model.RunLimit
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.placement.WorkHint
import pistachiopass.gateway.state.Beliefs
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Takes the hints of work that was placed here, for the other instances. */
internal fun interface HintSink {
    fun placed(hints: List<WorkHint>)
}

/** What is recorded of endpoints as requests are sent and answered. */
internal class EndpointRecords(val load: FleetLoad, val health: EndpointHealth, val hints: HintSink)

/** What a sender works with. */
internal class SenderParts(
    val wire: WireFormat,
    val beliefs: Beliefs,
    val admission: Admission,
    val cold: ColdBudget,
    val records: EndpointRecords,
    val reservations: Reservations,
)

/** Makes attempts over kept connections. */
internal class Sender(private val pool: UpstreamPool<Incarnation>, private val parts: SenderParts) {
    /** Returns the endpoints that may get [work] now. */
    fun candidatesFor(work: RequestWork): List<KnownEndpoint> =
        parts.beliefs.endpoints.of(work.admitted.service.name).filter { mayReceive(it, work) }

    private fun mayReceive(endpoint: KnownEndpoint, work: RequestWork): Boolean =
        parts.beliefs.endpoints.isUsable(endpoint) &&
            parts.cold.mayTake(endpoint, work.admitted.service.coldRequestsPerSecond)

    /** Sends [work] to [place] and passes the answer on. */
    suspend fun attempt(work: RequestWork, place: Place): Attempt {
        val placed = place.hints.map { parts.records.load.add(it, isOwn = true) }
        parts.records.hints.placed(place.hints)
        val sending = Sending(work, place, placed)
        try {
            return if (place.reservedTokens == 0L) send(sending, helpersOf(place)) else sendWithMemory(sending)
        } finally {
            placed.forEach(parts.records.load::end)
        }
    }

    private suspend fun sendWithMemory(sending: Sending): Attempt {
        val place = sending.place
        val reservation = parts.reservations.reserveOrNull(sending.work.metadata.id, place)
            ?: return notRun(place, FailureCode.OVERLOADED, "memory for the prompt is not free")
        try {
            val first = PrefillHelper(place.endpoint.id, place.endpoint.published.address, reservation.id)
            return send(sending, listOf(first) + helpersOf(place, reservation.id))
        } finally {
            reservation.release()
        }
    }

    private suspend fun send(sending: Sending, helpers: List<PrefillHelper>): Attempt {
        val endpoint = sending.place.endpoint
        val connection = pool.acquireOrNull(sending.incarnation, endpoint.published.address, idleMaxMillis(sending))
        if (connection == null) {
            parts.records.health.onFailure(sending.incarnation, UNREACHABLE_WEIGHT)
            return notRun(sending.place, FailureCode.NO_ENDPOINT, "the endpoint cannot be reached")
        }
        try {
            return objectionOrNull(sending) ?: exchange(sending, connection, helpers)
        } finally {
            pool.release(sending.incarnation, connection)
        }
    }

    private suspend fun exchange(
        sending: Sending,
        connection: UpstreamConnection,
        helpers: List<PrefillHelper>,
    ): Attempt {
        val work = sending.work
        parts.cold.onSent(sending.place.endpoint)
        work.isSent = true
        connection.send(forwardHeadOf(work, sending.place, helpers, parts.wire), work.exchange.body.retainedDuplicate())
        return Receiving(sending, connection, parts).run()
    }

    private fun objectionOrNull(sending: Sending): Attempt? {
        val place = sending.place
        val objection = parts.admission.objectionOrNull(sending.work.admitted, sending.work.metadata.apiKey)
        return when {
            objection != null -> Attempt.Failed(sending.incarnation, objection, hasArrived = false, isFinal = true)
            !mayReceive(place.endpoint, sending.work) || !place.helpers.all(parts.beliefs.endpoints::isUsable) ->
                notRun(place, FailureCode.NO_ENDPOINT, "the endpoint was withdrawn")
            else -> null
        }
    }

    private fun idleMaxMillis(sending: Sending): Long =
        if (sending.work.admitted.route.runLimit == RunLimit.ONCE) ONCE_IDLE_MILLIS else IDLE_MAX_MILLIS

    private fun helpersOf(place: Place, reservation: String? = null): List<PrefillHelper> =
        place.helpers.map { PrefillHelper(it.id, it.published.address, reservation) }

    private fun notRun(place: Place, code: FailureCode, message: String): Attempt.Failed =
        Attempt.Failed(
            place.endpoint.published.incarnation,
            Failure(code, Verdict.NOT_RUN, message, retryAfterMillis = BUSY_RETRY_MILLIS, endpoint = place.endpoint.id),
            hasArrived = false,
        )
}

/** Idle time up to which a kept connection gets a request that must not run twice: it is unlikely to be closing. */
private const val ONCE_IDLE_MILLIS: Long = 1_000
private const val UNREACHABLE_WEIGHT: Double = 2.0

/** Time after which a caller is asked to come back when endpoints were busy. */
internal const val BUSY_RETRY_MILLIS: Long = 400
