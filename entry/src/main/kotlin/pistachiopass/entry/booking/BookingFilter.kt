/**
 * Handling of requests on routes that are not idempotent.
 *
 * Such a request is a booking: it carries an idempotency key that this service issued, runs once per key, and a
 * repeated request gets the recorded answer.
 */
package pistachiopass.entry.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.headers
import pistachiopass.booking.BookingHeader
import pistachiopass.booking.BookingOutcome
import pistachiopass.booking.BookingRequest
import pistachiopass.booking.Bookings
import pistachiopass.booking.verdict
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.requireBody
import pistachiopass.entry.http.requireTarget
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.fingerprintField
import pistachiopass.entry.logging.log
import pistachiopass.entry.metrics.Metrics
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict
import kotlin.time.ComparableTimeMark

/** Runs bookings through [bookings]; [maxBodyBytes] bounds the body of a booking. */
public class BookingFilter(
    private val bookings: Bookings,
    private val maxBodyBytes: Int,
    private val metrics: Metrics,
    private val log: EventLog = EventLog,
) : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> {
        val key = context.exchange.head.headers[IDEMPOTENCY_KEY_HEADER]
        return when {
            context.requireTarget().route.idempotent -> {
                context.verdictAuthority?.markAuthoritative()
                next.handle(context)
            }
            key == null -> Err(keyRequired(context))
            context.requireBody().bytes.size > maxBodyBytes -> Err(tooLarge(context))
            else -> book(context, key)
        }
    }

    private fun keyRequired(context: RequestContext): Failure = bookings.issueKey().mapBoth(
        { key ->
            log.log(Event.KEY_ISSUED, context.exchange.requestId, fingerprintField("key", key))
            Failure(FailureCode.KEY_REQUIRED, Verdict.NOT_RUN, KEY_REQUIRED_MESSAGE, idempotencyKey = key)
        },
        { refusal ->
            if (refusal.code == FailureCode.OVERLOADED) log.log(Event.LEDGER_FULL, context.exchange.requestId)
            refusal
        },
    )

    private fun tooLarge(context: RequestContext): Failure {
        val bytes = context.requireBody().bytes.size
        val message = "a booking of $bytes bytes exceeds the limit of $maxBodyBytes bytes"
        return Failure(FailureCode.PROMPT_TOO_LARGE, Verdict.NOT_RUN, message)
    }

    private suspend fun book(context: RequestContext, key: String): Result<Completion, Failure> {
        val outcome = bookings.book(key, requestOf(context), timeoutMillisOf(context.requireTarget().deadline))
        context.verdictAuthority?.markAuthoritative()
        metrics.countBooking(outcome.verdict)
        return when (outcome) {
            is BookingOutcome.Response -> send(context, outcome)
            is BookingOutcome.Failed -> Err(withFreshKey(outcome.failure))
        }
    }

    /** A refused key is no longer valid, so the caller gets a new one where a retry may succeed. */
    private fun withFreshKey(failure: Failure): Failure =
        if (failure.verdict == Verdict.NOT_RUN && failure.code in RETRYABLE) {
            failure.copy(idempotencyKey = bookings.issueKey().get())
        } else {
            failure
        }

    private suspend fun send(context: RequestContext, response: BookingOutcome.Response): Result<Completion, Failure> {
        context.exchange.response.send(HttpStatusCode.fromValue(response.status), headersOf(response), response.body)
        return Ok(Completion(response.status, response.body.size.toLong()))
    }

    private fun headersOf(response: BookingOutcome.Response): Headers = headers {
        response.headers.forEach { append(it.name, it.value) }
        append(VERDICT_HEADER, Verdict.RAN.text)
    }

    private fun requestOf(context: RequestContext): BookingRequest {
        val exchange = context.exchange
        val headers = FORWARDED_HEADERS.mapNotNull { name ->
            exchange.head.headers[name]?.let { BookingHeader(name, it) }
        }
        return BookingRequest(
            exchange.requestId,
            exchange.workspace,
            exchange.head.method.value,
            exchange.head.uri,
            headers,
            context.requireBody().bytes,
        )
    }
}

/** Returns the time within which the outcome must be known, so that the reply reaches the caller by [deadline]. */
private fun timeoutMillisOf(deadline: ComparableTimeMark): Long {
    val remainingMillis = (-deadline.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
    return remainingMillis - minOf(MAX_REPLY_RESERVE_MILLIS, remainingMillis / REPLY_RESERVE_DIVISOR)
}

private val FORWARDED_HEADERS: List<String> = listOf(HttpHeaders.ContentType, HttpHeaders.Accept)
private val RETRYABLE: Set<FailureCode> =
    setOf(FailureCode.NO_ENDPOINT, FailureCode.OVERLOADED, FailureCode.STOPPING, FailureCode.TIMEOUT)
private const val KEY_REQUIRED_MESSAGE: String =
    "this route requires an idempotency key; repeat the request with the issued key"
private const val MAX_REPLY_RESERVE_MILLIS: Long = 500
private const val REPLY_RESERVE_DIVISOR: Long = 10
