/** Passes an endpoint's answer on to the caller. */
package pistachiopass.entry.stream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.headers
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.endpoint.readSseEventOrNull
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Exchange
import pistachiopass.entry.http.asEvent
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict
import kotlin.time.ComparableTimeMark

/** Relays the answer of [endpoint] to the caller of [exchange] until [deadline]. */
public class AnswerRelay(
    private val exchange: Exchange,
    private val endpoint: EndpointId,
    private val deadline: ComparableTimeMark,
) {
    /** Relays a whole response or a stream of events, as the endpoint sends it. */
    public suspend fun relay(response: HttpResponse): Result<Completion, Failure> =
        if (response.status.isSuccess() && response.isEventStream()) relayStream(response) else relayWhole(response)

    private suspend fun relayWhole(response: HttpResponse): Result<Completion, Failure> {
        val body = response.bodyAsBytes()
        val headers = headers {
            response.headers[HttpHeaders.ContentType]?.let { append(HttpHeaders.ContentType, it) }
            append(VERDICT_HEADER, Verdict.RAN.text)
        }
        exchange.reply.send(response.status, headers, body)
        return Ok(Completion(response.status.value, body.size.toLong()))
    }

    private suspend fun relayStream(response: HttpResponse): Result<Completion, Failure> {
        var failure: Failure? = null
        var sentBytes = 0L
        exchange.reply.stream(response.status, streamHeaders()) { output ->
            val copy = EventCopy(response.bodyAsChannel(), output)
            val complete = withTimeoutOrNull(-deadline.elapsedNow()) { copy.run() }
            failure = failureOrNull(complete)
            failure?.let { output.writeStringUtf8(it.asEvent(exchange.requestId, resumable = false)) }
            sentBytes = copy.sentBytes
        }
        return failure?.let { Err(it) } ?: Ok(Completion(response.status.value, sentBytes))
    }

    /** [complete] is null when the deadline passed, and false when the endpoint's stream ended early. */
    private fun failureOrNull(complete: Boolean?): Failure? =
        when (complete) {
            true -> null
            false -> failure(
                FailureCode.ENDPOINT_FAILED,
                "the stream of endpoint $endpoint ended before its end marker"
            )
            null -> failure(FailureCode.TIMEOUT, "the deadline passed before endpoint $endpoint ended its answer")
        }

    private fun failure(code: FailureCode, message: String): Failure = Failure(code, Verdict.MAY_HAVE_RUN, message)

    private fun streamHeaders(): Headers = headers {
        append(HttpHeaders.ContentType, ContentType.Text.EventStream.toString())
        append(HttpHeaders.CacheControl, "no-cache")
    }
}

private class EventCopy(private val input: ByteReadChannel, private val output: ByteWriteChannel) {
    var sentBytes: Long = 0
        private set

    /** Copies events and returns whether the end marker came. */
    suspend fun run(): Boolean {
        while (true) {
            val event = input.readSseEventOrNull() ?: return false
            val text = event.id?.let { "id: $it\n" }.orEmpty() + "data: ${event.data}\n\n"
            output.writeStringUtf8(text)
            output.flush()
            sentBytes += text.length
            if (event.data == END_OF_STREAM) return true
        }
    }
}

private fun HttpResponse.isEventStream(): Boolean = contentType()?.match(ContentType.Text.EventStream) == true

private const val END_OF_STREAM: String = "[DONE]"
