/**
 * Relays an endpoint's response to the caller.
 *
 * A stream whose connection is lost, sends nothing for too long or skips a chunk is resumed at the same engine. Towards
 * the caller a stream always ends with the end marker or an error event, unless the caller stopped reading.
 */
package pistachiopass.entry.stream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.headers
import io.ktor.http.isSuccess
import io.ktor.utils.io.cancel
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.endpoint.readWholeBody
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Exchange
import pistachiopass.entry.http.asEvent
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.PoolKind
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict
import pistachiopass.stream.EventIds
import pistachiopass.stream.StreamLocation
import pistachiopass.stream.StreamPosition
import pistachiopass.stream.chunkSequencerOf
import kotlin.time.ComparableTimeMark

/** Request whose response is relayed, with its endpoint, route and deadline. */
public class RelayedRequest(
    public val exchange: Exchange,
    public val endpoint: Endpoint,
    /** Id under which the endpoint knows the request. */
    public val leaseId: RequestId,
    public val route: RouteName,
    public val deadline: ComparableTimeMark,
)

/** Longest times without a byte: read from the endpoint, and accepted by the caller. */
public class RelayLimits(public val readIdleMillis: Long, public val stallMillis: Long)

/** Relays responses to callers. */
public class ResponseRelay(
    private val client: EndpointClient,
    private val eventIds: EventIds,
    private val limits: RelayLimits,
    private val log: EventLog = EventLog,
) {
    /** Relays [response], which is either complete or a stream of events. */
    public suspend fun relay(request: RelayedRequest, response: HttpResponse): Result<Completion, Failure> =
        if (response.status.isSuccess() && response.isEventStream()) {
            val location = request.locationOf(response.headers[STREAM_ID_HEADER].orEmpty())
            relayStream(request, StreamPosition(location, nextOffset = 0, elapsedMillis = 0), response)
        } else {
            relayWhole(request.exchange, response)
        }

    /** Resumes the stream at [position] for a caller that read it through another connection before. */
    public suspend fun resume(request: RelayedRequest, position: StreamPosition): Result<Completion, Failure> =
        openStream(request, position.location.streamId, position.nextOffset) { relayStream(request, position, it) }

    private suspend fun relayWhole(exchange: Exchange, response: HttpResponse): Result<Completion, Failure> {
        val body = response.readWholeBody()
        val headers = headers {
            response.headers[HttpHeaders.ContentType]?.let { append(HttpHeaders.ContentType, it) }
            append(VERDICT_HEADER, Verdict.RAN.text)
        }
        exchange.response.send(response.status, headers, body)
        return Ok(Completion(response.status.value, body.size.toLong()))
    }

    private suspend fun relayStream(
        request: RelayedRequest,
        position: StreamPosition,
        response: HttpResponse,
    ): Result<Completion, Failure> {
        val exchange = request.exchange
        var end: CopyOutcome? = null
        var sentBytes = 0L
        val accepted = exchange.response.stream(HttpStatusCode.OK, streamHeaders()) { sink ->
            val copier = StreamCopier(
                chunkSequencerOf(position.location.streamId, position.nextOffset),
                eventIds.writerOf(position.location, exchange.workspace),
                sink,
                copyLimits(request, position),
            )
            val last = copyToEnd(request, position.location.streamId, copier, response)
            failureOrNull(last, request.endpoint)
                ?.takeIf { last != CopyOutcome.STALLED }
                ?.let { sink.write(it.asEvent(exchange.requestId, resumable = true).encodeToByteArray()) }
            sentBytes = copier.sentBytes
            end = last
        }
        val failure = if (accepted) failureOrNull(end ?: CopyOutcome.BROKEN, request.endpoint) else callerGone()
        return failure?.let { Err(it) } ?: Ok(Completion(response.status.value, sentBytes))
    }

    private fun copyLimits(request: RelayedRequest, position: StreamPosition): CopyLimits = CopyLimits(
        idleMillis = limits.readIdleMillis,
        stallMillis = limits.stallMillis,
        arrivedAt = request.exchange.arrivedAt,
        deadline = request.deadline,
        elapsedBeforeMillis = position.elapsedMillis,
    )

    /** Copies [first] and, after each lost connection, resumes the stream; gives up when repeated attempts fail. */
    private suspend fun copyToEnd(
        request: RelayedRequest,
        streamId: String,
        copier: StreamCopier,
        first: HttpResponse,
    ): CopyOutcome {
        var end = copyOnce(copier, first)
        var failedAttempts = 0
        while (end == CopyOutcome.BROKEN && failedAttempts < MAX_FAILED_RESUMES) {
            log.log(
                Event.STREAM_RESUMED,
                request.exchange.requestId,
                field("endpoint", request.endpoint.id),
                field("offset", copier.nextOffset),
            )
            val resumed = openStream(request, streamId, copier.nextOffset) { Ok(copyOnce(copier, it)) }
            end = resumed.mapBoth({ it }, { CopyOutcome.BROKEN })
            failedAttempts = if (resumed.isOk) 0 else failedAttempts + 1
        }
        if (end == CopyOutcome.STALLED) log.log(Event.STREAM_STALLED, request.exchange.requestId)
        return end
    }

    private suspend fun copyOnce(copier: StreamCopier, response: HttpResponse): CopyOutcome {
        val input = response.bodyAsChannel()
        return copier.run(input).also { if (it != CopyOutcome.COMPLETE) input.cancel() }
    }

    private suspend fun <T> openStream(
        request: RelayedRequest,
        streamId: String,
        offset: Long,
        receive: suspend (HttpResponse) -> Result<T, Failure>,
    ): Result<T, Failure> =
        client.exchange(
            request.endpoint,
            PoolKind.MODEL,
            "/v1/streams/$streamId?offset=$offset",
            build = {}
        ) { response ->
            if (response.status.isSuccess()) receive(response) else Err(streamLost(request.endpoint))
        }

    private fun failureOrNull(end: CopyOutcome, endpoint: Endpoint): Failure? =
        when (end) {
            CopyOutcome.COMPLETE -> null
            CopyOutcome.BROKEN -> streamLost(endpoint)
            CopyOutcome.STALLED -> callerGone()
            CopyOutcome.TIMED_OUT ->
                mayHaveRun(FailureCode.TIMEOUT, "the deadline passed before endpoint ${endpoint.id} ended its response")
        }

    private fun streamHeaders(): Headers = headers {
        append(HttpHeaders.ContentType, ContentType.Text.EventStream.toString())
        append(HttpHeaders.CacheControl, "no-cache")
    }
}

private fun RelayedRequest.locationOf(streamId: String): StreamLocation =
    StreamLocation(endpoint.id, streamId, leaseId, route)

private fun streamLost(endpoint: Endpoint): Failure =
    mayHaveRun(FailureCode.ENDPOINT_FAILED, "the stream from endpoint ${endpoint.id} was lost and could not be resumed")

private fun callerGone(): Failure = mayHaveRun(FailureCode.CALLER_GONE, "the caller stopped reading the response")

private fun mayHaveRun(code: FailureCode, message: String): Failure = Failure(code, Verdict.MAY_HAVE_RUN, message)

private fun HttpResponse.isEventStream(): Boolean = contentType()?.match(ContentType.Text.EventStream) == true

private const val STREAM_ID_HEADER: String = "X-Stream-Id"
private const val MAX_FAILED_RESUMES: Int = 3
