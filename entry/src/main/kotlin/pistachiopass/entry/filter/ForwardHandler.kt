/** Sends each request to an endpoint and passes the answer on to the caller. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.headers
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.endpoint.readSseEventOrNull
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.asEvent
import pistachiopass.entry.http.requireBody
import pistachiopass.entry.http.requireFacts
import pistachiopass.entry.http.requireTarget
import pistachiopass.entry.placement.Allocation
import pistachiopass.entry.placement.CapacityAllocator
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.REMAINING_MILLIS_HEADER
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict

/** Allocates room with [allocator] and sends through [client]. */
public class ForwardHandler(
    private val allocator: CapacityAllocator,
    private val client: EndpointClient,
) : Handler {
    override suspend fun handle(context: RequestContext): Result<Completion, Failure> =
        allocator.allocate(context.exchange.requestId, context.requireFacts(), context.requireTarget())
            .andThen { allocation -> forwardAndRelease(context, allocation) }

    private suspend fun forwardAndRelease(context: RequestContext, allocation: Allocation): Result<Completion, Failure> {
        var ended = false
        try {
            val outcome = forward(context, allocation)
            ended = outcome.isOk || outcome.error.verdict == Verdict.NOT_RUN
            return outcome
        } finally {
            withContext(NonCancellable) { allocation.release(ended || cancel(context, allocation)) }
        }
    }

    private suspend fun cancel(context: RequestContext, allocation: Allocation): Boolean =
        context.requireFacts().model == null || client.cancel(allocation.endpoint, allocation.leaseId)

    private suspend fun forward(context: RequestContext, allocation: Allocation): Result<Completion, Failure> {
        if (!allocation.isValid()) {
            return Err(notRun(FailureCode.OVERLOADED, "the lease ran out before the request was sent", RETRY_MILLIS))
        }
        val exchange = context.exchange
        return client.exchange(
            endpoint = allocation.endpoint,
            uri = exchange.uri,
            build = { copyFrom(context, allocation) },
            receive = { response -> relay(context, allocation, response) },
        )
    }

    private fun HttpRequestBuilder.copyFrom(context: RequestContext, allocation: Allocation) {
        val exchange = context.exchange
        method = exchange.method
        exchange.headers[HttpHeaders.ContentType]?.let { contentType(ContentType.parse(it)) }
        FORWARDED_HEADERS.forEach { name -> exchange.headers[name]?.let { header(name, it) } }
        header(REQUEST_ID_HEADER, allocation.leaseId.value)
        header(REMAINING_MILLIS_HEADER, -context.requireTarget().deadline.elapsedNow().inWholeMilliseconds)
        setBody(context.requireBody().bytes)
    }

    private suspend fun relay(
        context: RequestContext,
        allocation: Allocation,
        response: HttpResponse,
    ): Result<Completion, Failure> =
        if (response.contentType()?.match(ContentType.Text.EventStream) == true) {
            relayStream(context, allocation, response)
        } else {
            relayWhole(context, response)
        }

    private suspend fun relayWhole(context: RequestContext, response: HttpResponse): Result<Completion, Failure> {
        val body = response.bodyAsBytes()
        val headers = headers {
            response.headers[HttpHeaders.ContentType]?.let { append(HttpHeaders.ContentType, it) }
            append(VERDICT_HEADER, Verdict.RAN.text)
        }
        context.exchange.reply.send(response.status, headers, body)
        return Ok(Completion(response.status.value, body.size.toLong()))
    }

    private suspend fun relayStream(
        context: RequestContext,
        allocation: Allocation,
        response: HttpResponse,
    ): Result<Completion, Failure> {
        if (!response.status.isSuccess()) return relayWhole(context, response)
        var relayed = StreamRelay(bytes = 0, complete = false)
        context.exchange.reply.stream(response.status, streamHeaders()) { output ->
            relayed = copyEvents(response, output)
            if (!relayed.complete) output.writeStringUtf8(truncated(allocation).asEvent(context.exchange.requestId, false))
        }
        return if (relayed.complete) Ok(Completion(response.status.value, relayed.bytes)) else Err(truncated(allocation))
    }

    private suspend fun copyEvents(response: HttpResponse, output: ByteWriteChannel): StreamRelay {
        val input = response.bodyAsChannel()
        var bytes = 0L
        while (true) {
            val event = input.readSseEventOrNull() ?: return StreamRelay(bytes, complete = false)
            val text = event.id?.let { "id: $it\n" }.orEmpty() + "data: ${event.data}\n\n"
            output.writeStringUtf8(text)
            output.flush()
            bytes += text.length
            if (event.data == END_OF_STREAM) return StreamRelay(bytes, complete = true)
        }
    }

    private fun truncated(allocation: Allocation): Failure = Failure(
        FailureCode.ENDPOINT_FAILED,
        Verdict.MAY_HAVE_RUN,
        "the stream of endpoint ${allocation.endpoint.id} ended before its end marker",
    )

    private fun streamHeaders(): Headers = headers {
        append(HttpHeaders.ContentType, ContentType.Text.EventStream.toString())
        append(HttpHeaders.CacheControl, "no-cache")
    }
}

private class StreamRelay(val bytes: Long, val complete: Boolean)

private val FORWARDED_HEADERS: List<String> = listOf(HttpHeaders.Accept, "Idempotency-Key")
private const val END_OF_STREAM: String = "[DONE]"
private const val RETRY_MILLIS: Long = 1_000
