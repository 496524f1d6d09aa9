/**
 * Sends one request to one endpoint and judges what comes back.
 *
 * Whatever may have changed since the request was placed is looked at again immediately before the send: whether the
 * endpoint may still get work, whether the key still holds, and what a cold endpoint still bears.
 */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.IDLE_MAX_MILLIS
import pistachiopass.gateway.http.Part
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.model.AnswerFacts
import pistachiopass.gateway.model.ForwardFacts
import pistachiopass.gateway.model.Helper
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.RunLimit
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Place
import pistachiopass.gateway.placement.PlacedWork
import pistachiopass.gateway.placement.WorkHint
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.Beliefs
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Takes the hints of work that was placed here, for the other instances. */
internal fun interface HintSink {
    fun placed(hints: List<WorkHint>)
}

/** What a sender works with. */
internal class SenderParts(
    val wire: WireFormat,
    val beliefs: Beliefs,
    val admission: Admission,
    val cold: ColdBudget,
    val load: FleetLoad,
    val health: EndpointHealth,
    val clock: AgeClock,
    val hints: HintSink,
    val reservations: Reservations,
)

/** Makes attempts over kept connections. */
internal class Sender(private val pool: UpstreamPool<Incarnation>, private val parts: SenderParts) {
    /** Is true if [endpoint] may get [work] now. */
    fun mayReceive(endpoint: KnownEndpoint, work: RequestWork): Boolean =
        parts.beliefs.isUsable(endpoint) && !isColdAndFull(endpoint, work)

    /** Sends [work] to [place] and passes the answer on. */
    suspend fun attempt(work: RequestWork, place: Place): Attempt {
        val placed = place.hints.map { parts.load.add(it, isOwn = true) }
        parts.hints.placed(place.hints)
        try {
            if (place.reservedTokens == 0L) return send(work, place, placed, helpersOf(place, null))
            val reservation = parts.reservations.reserveOrNull(work.facts.id, place)
                ?: return notRun(place, FailureCode.OVERLOADED, "memory for the prompt is not free", hasArrived = false)
            return try {
                send(work, place, placed, helpersOf(place, reservation.id))
            } finally {
                reservation.release()
            }
        } finally {
            placed.forEach(parts.load::end)
        }
    }

    private suspend fun send(
        work: RequestWork,
        place: Place,
        placed: List<PlacedWork>,
        helpers: List<Helper>,
    ): Attempt {
        val endpoint = place.endpoint
        val incarnation = endpoint.published.incarnation
        val idleMaxMillis = if (work.admitted.route.runLimit == RunLimit.ONCE) ONCE_IDLE_MILLIS else IDLE_MAX_MILLIS
        val connection = pool.acquireOrNull(incarnation, endpoint.published.address, idleMaxMillis)
        if (connection == null) {
            parts.health.onFailure(incarnation, UNREACHABLE_WEIGHT)
            return notRun(place, FailureCode.NO_ENDPOINT, "the endpoint cannot be reached", hasArrived = false)
        }
        try {
            val objection = objectionOrNull(work, place)
            if (objection != null) return objection
            if (isCold(endpoint)) parts.cold.onSent(incarnation)
            work.isSent = true
            connection.send(headOf(work, place, helpers), work.exchange.body.retainedDuplicate())
            return Receiving(work, place, placed, connection).run()
        } finally {
            pool.release(incarnation, connection)
        }
    }

    private fun objectionOrNull(work: RequestWork, place: Place): Attempt? {
        val objection = parts.admission.objectionOrNull(work.admitted, work.facts.key)
        val helpersUsable = place.helpers.all(parts.beliefs::isUsable)
        return when {
            objection != null ->
                Attempt.Failed(place.endpoint.published.incarnation, objection, hasArrived = false, isFinal = true)
            !mayReceive(place.endpoint, work) || !helpersUsable ->
                notRun(place, FailureCode.NO_ENDPOINT, "the endpoint was withdrawn", hasArrived = false)
            else -> null
        }
    }

    private fun isCold(endpoint: KnownEndpoint): Boolean = endpoint.coldUntilMillis > parts.clock.nowMillis()

    private fun isColdAndFull(endpoint: KnownEndpoint, work: RequestWork): Boolean =
        isCold(endpoint) && work.admitted.service.coldPerSecond > 0 &&
            !parts.cold.mayTake(endpoint.published.incarnation, work.admitted.service.coldPerSecond)

    private fun headOf(work: RequestWork, place: Place, helpers: List<Helper>): HttpRequest {
        val original = work.exchange.request
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.uri())
        head.headers().add(original.headers())
        removeConnectionHeaders(head.headers())
        val bodyBytes = work.exchange.body.readableBytes()
        if (bodyBytes > 0 || original.method() !in BODILESS) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        }
        val relayed = work.relay?.takeIf { it.hasBegun }?.lastEventId
        val facts = ForwardFacts(
            place.endpoint.id,
            work.remainingMillis(),
            work.admitted.workspace,
            urgencyOf(work),
            helpers,
            lastEventId = relayed?.toString() ?: work.facts.lastEventId,
        )
        parts.wire.writeForward(head.headers(), facts)
        return head
    }

    private fun helpersOf(place: Place, reservation: String?): List<Helper> {
        val helpers = place.helpers.map { Helper(it.id, it.published.address, reservation) }
        if (reservation == null) return helpers
        return listOf(Helper(place.endpoint.id, place.endpoint.published.address, reservation)) + helpers
    }

    private fun notRun(place: Place, code: FailureCode, message: String, hasArrived: Boolean): Attempt.Failed =
        Attempt.Failed(
            place.endpoint.published.incarnation,
            Failure(code, Verdict.NOT_RUN, message, retryAfterMillis = BUSY_RETRY_MILLIS, endpoint = place.endpoint.id),
            hasArrived,
        )

    /** Receives the answer to one sending. */
    private inner class Receiving(
        private val work: RequestWork,
        private val place: Place,
        private val placed: List<PlacedWork>,
        private val connection: UpstreamConnection,
    ) {
        private val incarnation = place.endpoint.published.incarnation
        private val sentNanos = System.nanoTime()
        private var isReadEnded = false

        suspend fun run(): Attempt {
            val head = headOrNull() ?: return broken(parts.health)
            val facts = parts.wire.readAnswer(head.status().code(), head.headers())
            facts.load?.let { parts.load.stated(incarnation, it) }
            val status = head.status().code()
            val isSuccess = status in SUCCESS
            return when {
                facts.isNotExecuted -> refused(facts)
                facts.isReencoded || (isSuccess && !facts.isStamped) -> broken(parts.health)
                isSuccess && work.relay != null -> stream(head)
                else -> whole(head, status)
            }
        }

        /** Returns the head of the answer that belongs to the request, past answers of others, or null. */
        private suspend fun headOrNull(): HttpResponse? {
            while (true) {
                val part = if (canGoElsewhere()) {
                    withTimeoutOrNull(silenceMillis()) { connection.receive() } ?: return null
                } else {
                    connection.receive()
                }
                when (part) {
                    is Part.Head -> if (belongs(part.response)) return part.response
                    is Part.Data -> part.bytes.release()
                    is Part.End -> Unit
                    is Part.Broken -> return null
                }
            }
        }

        private fun belongs(response: HttpResponse): Boolean {
            val id = parts.wire.readAnswer(response.status().code(), response.headers()).requestId
            return if (id == null) response.status().code() !in SUCCESS else id == work.facts.id
        }

        private fun canGoElsewhere(): Boolean =
            work.admitted.route.runLimit.mayRepeat && work.runs + 1 < work.admitted.route.attemptsMax

        /** Returns the silence after which an endpoint is taken for dead. */
        private fun silenceMillis(): Long =
            (place.forecastMillis * SILENCE_FACTOR).toLong() + maxOf(SILENCE_MIN_MILLIS, work.admitted.route.objectiveMillis)

        private suspend fun refused(facts: AnswerFacts): Attempt {
            drain()
            work.isSent = false
            val blamed = facts.blamed?.let { address -> place.helpers.find { it.published.address == address } }
            val guilty = blamed?.published?.incarnation ?: incarnation
            parts.health.onFailure(guilty, REFUSED_WEIGHT)
            val failure = Failure(
                FailureCode.OVERLOADED,
                Verdict.NOT_RUN,
                "the endpoint refused the request",
                retryAfterMillis = BUSY_RETRY_MILLIS,
                endpoint = guilty.endpoint,
            )
            return Attempt.Failed(guilty, failure, hasArrived = true)
        }

        private suspend fun drain() {
            withTimeoutOrNull(DRAIN_MILLIS) {
                while (true) {
                    when (val part = connection.receive()) {
                        is Part.Data -> part.bytes.release()
                        is Part.Head -> Unit
                        is Part.End, is Part.Broken -> break
                    }
                }
            }
        }

        private suspend fun whole(head: HttpResponse, status: Int): Attempt {
            val body = Unpooled.buffer()
            val isWhole = collect(body)
            readEnded()
            val isFailure = status >= SERVER_ERROR
            return when {
                !isWhole -> broken(parts.health).also { body.release() }
                isFailure && canGoElsewhere() -> {
                    parts.health.onFailure(incarnation, ERROR_WEIGHT)
                    work.keep(KeptAnswer(status, head.headers(), bytesOf(body)))
                    failed(Failure(FailureCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, "the endpoint answered $status"))
                }
                else -> {
                    if (isFailure) parts.health.onFailure(incarnation, ERROR_WEIGHT) else parts.health.onSuccess(incarnation)
                    work.answer(status, head.headers(), body)
                    Attempt.Answered
                }
            }
        }

        private fun bytesOf(body: ByteBuf): ByteArray =
            ByteArray(body.readableBytes()).also {
                body.readBytes(it)
                body.release()
            }

        private suspend fun collect(body: ByteBuf): Boolean {
            while (true) {
                when (val part = connection.receive()) {
                    is Part.Data -> {
                        body.writeBytes(part.bytes)
                        part.bytes.release()
                    }
                    is Part.End -> return true
                    is Part.Broken, is Part.Head -> return false
                }
                if (body.readableBytes() > WHOLE_MAX_BYTES) return false
            }
        }

        private suspend fun stream(head: HttpResponse): Attempt {
            work.streamBegins(head)
            val relay = checkNotNull(work.relay) { "the route gives no stream" }
            return when (relay.relay(connection) { readEnded() }) {
                StreamEnd.WHOLE -> {
                    parts.health.onSuccess(incarnation)
                    work.endStream()
                    Attempt.Answered
                }
                StreamEnd.BROKEN -> broken(parts.health)
            }
        }

        private fun readEnded() {
            if (isReadEnded) return
            isReadEnded = true
            val actual = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI
            placed.forEach { parts.load.readEnded(it, place.forecastMillis, actual.toDouble()) }
        }

        private fun broken(health: EndpointHealth): Attempt {
            health.onFailure(incarnation, BROKEN_WEIGHT)
            return failed(Failure(FailureCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, "the endpoint did not answer in full"))
        }

        private fun failed(failure: Failure): Attempt =
            Attempt.Failed(incarnation, failure.copy(endpoint = incarnation.endpoint), hasArrived = true)
    }
}

private fun removeConnectionHeaders(headers: HttpHeaders) {
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }.forEach(headers::remove)
    CONNECTION_HEADERS.forEach(headers::remove)
}

/** Returns the urgency from 0, the most urgent, to 9: the tighter the objective, the more urgent. */
private fun urgencyOf(work: RequestWork): Int? {
    if (work.admitted.service.engine == null) return null
    val route = work.admitted.route
    val isHalfOver = work.elapsedMillis() * 2 > route.objectiveMillis
    val base = URGENCY_LIMITS_MILLIS.indexOfFirst { route.objectiveMillis <= it }.takeIf { it >= 0 } ?: URGENCY_LIMITS_MILLIS.size
    return base + if (isHalfOver) URGENCY_LATE else URGENCY_STEP
}

private val CONNECTION_HEADERS = listOf(
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
)
private val BODILESS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS)
private val SUCCESS = 200..299
private const val SERVER_ERROR: Int = 500

/** Longest answer of a plain service that is held until it is whole. */
private const val WHOLE_MAX_BYTES: Int = 4 * 1024 * 1024

/** Idle time up to which a kept connection gets a request that must not run twice: it is unlikely to be closing. */
private const val ONCE_IDLE_MILLIS: Long = 1_000

/** An endpoint is taken for dead after this many forecasts and at least this time without a byte. */
private const val SILENCE_FACTOR: Double = 2.0
private const val SILENCE_MIN_MILLIS: Long = 500

/** Time for the rest of a refusal to arrive. */
private const val DRAIN_MILLIS: Long = 100
private const val BUSY_RETRY_MILLIS: Long = 400
private const val UNREACHABLE_WEIGHT: Double = 2.0
private const val BROKEN_WEIGHT: Double = 0.7
private const val ERROR_WEIGHT: Double = 0.4
private const val REFUSED_WEIGHT: Double = 0.5

/** Objectives from which on a request is less urgent. */
private val URGENCY_LIMITS_MILLIS: List<Long> = listOf(500, 2_000, 6_000)
private const val URGENCY_LATE: Int = 1
private const val URGENCY_STEP: Int = 2
private const val NANOS_PER_MILLI: Long = 1_000_000
