/** Responses of the gateway itself to failed requests; they lack the response stamp of an endpoint. */
package pistachiopass.gateway.forward

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.json.Json
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict

/** Returns the HTTP status for this failure; 503 only if the request has not run and never will. */
internal val Failure.status: Int
    get() = when {
        verdict != Verdict.NOT_RUN ->
            if (code == FailureCode.TIMEOUT) STATUS_GATEWAY_TIMEOUT else STATUS_BAD_GATEWAY
        code == FailureCode.BAD_REQUEST -> STATUS_BAD_REQUEST
        code == FailureCode.NOT_AUTHORIZED -> STATUS_UNAUTHORIZED
        code == FailureCode.NO_ROUTE -> STATUS_NOT_FOUND
        else -> STATUS_UNAVAILABLE
    }

/** Answers the request with [failure], with a Retry-After header if the failure has a retry time. */
internal fun CallerExchange.respondWith(failure: Failure) {
    val headers = DefaultHttpHeaders()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    headers.set(VERDICT_HEADER, failure.verdict.text)
    failure.retryAfterMillis?.let { headers.set(HttpHeaderNames.RETRY_AFTER, secondsText(it)) }
    val body = Json.encodeToString(Failure.serializer(), failure).encodeToByteArray()
    respond(failure.status, headers, Unpooled.wrappedBuffer(body))
}

private fun secondsText(millis: Long): String = "%.3f".format(java.util.Locale.ROOT, millis / MILLIS_PER_SECOND)

private const val STATUS_BAD_REQUEST: Int = 400
private const val STATUS_UNAUTHORIZED: Int = 401
private const val STATUS_NOT_FOUND: Int = 404
private const val STATUS_BAD_GATEWAY: Int = 502
private const val STATUS_UNAVAILABLE: Int = 503
private const val STATUS_GATEWAY_TIMEOUT: Int = 504
private const val MILLIS_PER_SECOND: Double = 1_000.0
