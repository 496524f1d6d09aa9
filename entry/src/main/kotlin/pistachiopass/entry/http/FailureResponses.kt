/** Error responses and error events, which describe all failures to callers in one format. */
package pistachiopass.entry.http

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.headers
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.RequestId
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict

/** Body of an error response or error event. */
@Serializable
public data class ErrorBody(val error: ErrorDetail)

/** Description of a failure for the caller. */
@Serializable
public data class ErrorDetail(
    val code: FailureCode,
    val verdict: Verdict,
    val message: String,
    val requestId: RequestId,
    val retryAfterMillis: Long? = null,
    /** Whether the stream can be resumed with `Last-Event-ID`. */
    val resumable: Boolean = false,
    /** Idempotency key with which the request can be sent again, if it lacked a required key. */
    val idempotencyKey: String? = null,
)

/** Returns the HTTP status of an error response with this code. */
public fun FailureCode.httpStatus(): HttpStatusCode =
    when (this) {
        FailureCode.BAD_REQUEST -> HttpStatusCode.BadRequest
        FailureCode.NOT_AUTHORIZED -> HttpStatusCode.Forbidden
        FailureCode.NO_ROUTE -> HttpStatusCode.NotFound
        FailureCode.CONFLICT -> HttpStatusCode.Conflict
        FailureCode.PROMPT_TOO_LARGE -> HttpStatusCode.PayloadTooLarge
        FailureCode.KEY_REUSED -> HttpStatusCode.UnprocessableEntity
        FailureCode.KEY_REQUIRED -> PRECONDITION_REQUIRED
        FailureCode.ENDPOINT_FAILED -> HttpStatusCode.BadGateway
        FailureCode.NO_ENDPOINT, FailureCode.OVERLOADED, FailureCode.QUARANTINED, FailureCode.STOPPING ->
            HttpStatusCode.ServiceUnavailable
        FailureCode.TIMEOUT -> HttpStatusCode.GatewayTimeout
        FailureCode.CALLER_GONE -> CLIENT_CLOSED_REQUEST
    }

/** Returns the description of this failure for the caller. */
public fun Failure.detail(requestId: RequestId, resumable: Boolean = false): ErrorDetail =
    ErrorDetail(code, verdict, message, requestId, retryAfterMillis, resumable, idempotencyKey)

/** Sends [failure] as a complete error response. */
public suspend fun CallerResponse.sendFailure(failure: Failure, requestId: RequestId) {
    val body = errorJson.encodeToString(ErrorBody(failure.detail(requestId)))
    send(failure.code.httpStatus(), failure.headers(), body.encodeToByteArray())
}

/** Returns the failure as a server-sent event that ends a stream which has already started. */
public fun Failure.asEvent(requestId: RequestId, resumable: Boolean): String {
    val body = errorJson.encodeToString(ErrorBody(detail(requestId, resumable)))
    return "event: error\ndata: $body\n\n"
}

private fun Failure.headers(): Headers = headers {
    append(HttpHeaders.ContentType, ContentType.Application.Json.toString())
    append(VERDICT_HEADER, verdict.text)
    retryAfterMillis?.let { append(HttpHeaders.RetryAfter, ceilSeconds(it).toString()) }
    idempotencyKey?.let { append(IDEMPOTENCY_KEY_HEADER, it) }
}

private fun ceilSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

/** Header with the key that makes it safe to repeat a request. */
public const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

private val PRECONDITION_REQUIRED: HttpStatusCode =
    HttpStatusCode(PRECONDITION_REQUIRED_STATUS, "Precondition Required")

private val CLIENT_CLOSED_REQUEST: HttpStatusCode = HttpStatusCode(CLIENT_CLOSED_STATUS, "Client Closed Request")

private val errorJson: Json = Json { explicitNulls = false }

private const val MILLIS_PER_SECOND: Long = 1_000
private const val PRECONDITION_REQUIRED_STATUS: Int = 428
private const val CLIENT_CLOSED_STATUS: Int = 499
