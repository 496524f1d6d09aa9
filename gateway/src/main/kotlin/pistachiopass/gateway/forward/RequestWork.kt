/** The state of one request on its way: what was sent where, what may have run, and what the caller has got. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.RequestFacts
import pistachiopass.gateway.placement.PlacementAsk
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Tells how one sending of a request ended. */
internal sealed interface Attempt {
    /** The caller has the endpoint's whole answer. */
    data object Answered : Attempt

    class Failed(
        val endpoint: Incarnation,
        val failure: Failure,
        /** The request reached an endpoint, whether that ran it or not. */
        val hasArrived: Boolean,
        /** No other endpoint can help. */
        val isFinal: Boolean = false,
    ) : Attempt
}

/** An endpoint's own failure, kept until it is clear that no other endpoint does better. */
internal class KeptAnswer(val status: Int, val headers: HttpHeaders, val body: ByteArray)

/** One request that was let in. */
internal class RequestWork(
    val exchange: CallerExchange,
    val facts: RequestFacts,
    val admitted: Admitted,
    private val wire: WireFormat,
) {
    private val route = admitted.route
    private val limitMillis = minOf(facts.remainingMillis ?: Long.MAX_VALUE, route.timeoutMillis)
    private val excluded = HashSet<Incarnation>()
    private var fallback: KeptAnswer? = null

    /** Relay of the stream, over all attempts; null on routes that give none. */
    val relay: StreamRelay? = if (route.isStream) StreamRelay(exchange, ::beginStream, facts.lastEventId?.toLongOrNull()) else null

    private var streamHead: HttpResponse? = null

    /** Sendings so far that may have run. */
    var runs: Int = 0
        private set

    /** Sendings so far. */
    var tries: Int = 0
        private set

    /** A sending is in progress and may have run. */
    var isSent: Boolean = false

    var lastFailure: Failure? = null
        private set

    var answeredStatus: Int = 0
        private set

    /** Time from arrival to the first byte of the answer. */
    var firstMillis: Long? = null
        private set

    val isAnswered: Boolean get() = answeredStatus != 0

    val hasBegun: Boolean get() = relay?.hasBegun ?: false

    fun elapsedMillis(): Long = (System.nanoTime() - exchange.arrivedNanos) / NANOS_PER_MILLI

    /** Returns the time until the caller is to have its final answer. */
    fun leftMillis(): Long = limitMillis - elapsedMillis()

    /** Returns the time that an endpoint is told, or null if the caller stated none. */
    fun remainingMillis(): Long = maxOf(1L, minOf(leftMillis(), limitMillis))

    fun ask(): PlacementAsk = PlacementAsk(route, admitted.service, facts.prompt, elapsedMillis(), excluded)

    fun exclude(endpoint: Incarnation) {
        excluded += endpoint
    }

    fun record(attempt: Attempt) {
        tries++
        isSent = false
        if (attempt is Attempt.Failed) {
            lastFailure = attempt.failure
            if (attempt.failure.verdict != Verdict.NOT_RUN) runs++
        }
    }

    /** Sends an endpoint's whole answer to the caller. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
        wire.writeAnswer(headers)
        markFirst()
        answeredStatus = status
        exchange.answer(status, headers, body)
    }

    /** Keeps an endpoint's own failure, which is delivered if no other endpoint does better. */
    fun keep(answer: KeptAnswer) {
        fallback = answer
    }

    /** Delivers a kept answer and returns null, or returns [failure] if none is kept. */
    fun deliverFallbackOr(failure: Failure): Failure? {
        val kept = fallback
        if (kept == null || hasBegun) return failureOverAll(failure)
        answer(kept.status, kept.headers, Unpooled.wrappedBuffer(kept.body))
        return null
    }

    /** Prepares to pass on a stream; only the first endpoint's head is passed on. */
    fun streamBegins(head: HttpResponse) {
        if (streamHead == null) streamHead = head
    }

    /** Ends the caller's stream as whole. */
    fun endStream() {
        if (!hasBegun) beginStream()
        answeredStatus = streamHead?.status()?.code() ?: 0
        exchange.end()
    }

    /** Returns what the caller is told when the time is over, or null if it has its answer. */
    fun timeoutOrNull(): Failure? =
        if (isAnswered) null else failureOverAll(Failure(FailureCode.TIMEOUT, Verdict.NOT_RUN, "the time for the request is over"))

    /** Returns what the caller is told when serving ended without a reason. */
    fun interrupted(): Failure = failureOverAll(Failure(FailureCode.ENDPOINT_FAILED, Verdict.NOT_RUN, "the answer broke off"))

    /** Returns [failure] with the verdict over all sendings: "not run" only if none may have run. */
    private fun failureOverAll(failure: Failure): Failure =
        if (runs > 0 || isSent) failure.copy(verdict = Verdict.MAY_HAVE_RUN, retryAfterMillis = null) else failure

    private fun beginStream() {
        val head = checkNotNull(streamHead) { "no head of a stream was received" }
        wire.writeAnswer(head.headers())
        markFirst()
        exchange.begin(head.status().code(), head.headers())
    }

    private fun markFirst() {
        if (firstMillis == null) firstMillis = elapsedMillis()
    }
}

private const val NANOS_PER_MILLI: Long = 1_000_000
