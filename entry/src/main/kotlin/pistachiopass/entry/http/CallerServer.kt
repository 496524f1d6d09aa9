/** HTTP server for callers. */
package pistachiopass.entry.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.model.Failure
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.model.RequestId
import pistachiopass.model.WORKSPACE_HEADER
import pistachiopass.model.WorkspaceId
import java.util.UUID
import kotlin.time.TimeSource

/**
 * Installs a route that passes every request to [handler] and responds with its failure, if it returns one.
 *
 * At most [windowBytes] of a streamed response are buffered for a caller that reads slowly. A request is cancelled
 * when its caller disconnects.
 */
public fun Application.serveCallers(
    handler: Handler,
    windowBytes: Int,
    running: RunningRequests = RunningRequests(),
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    log: EventLog = EventLog,
) {
    install(HttpRequestLifecycle) { cancelCallOnClose = true }
    routing {
        route("{path...}") {
            handle {
                running.track {
                    val exchange = call.exchange(timeSource, windowBytes)
                    val outcome = handler.handle(RequestContext(exchange))
                    finish(exchange, outcome, log)
                }
            }
        }
    }
}

private suspend fun finish(exchange: Exchange, outcome: Result<Completion, Failure>, log: EventLog) {
    val durationMillis = field("durationMillis", exchange.arrivedAt.elapsedNow().inWholeMilliseconds)
    outcome.onSuccess {
        val status = field("status", it.status)
        log.log(Event.REQUEST_FINISHED, exchange.requestId, status, field("bytes", it.bodyBytes), durationMillis)
    }
    outcome.onFailure { failure ->
        val code = field("code", failure.code)
        log.log(Event.REQUEST_FAILED, exchange.requestId, code, field("verdict", failure.verdict), durationMillis)
        if (!exchange.response.started) exchange.response.sendFailure(failure, exchange.requestId)
    }
}

private fun ApplicationCall.exchange(timeSource: TimeSource.WithComparableMarks, windowBytes: Int): Exchange {
    val requestId = RequestId(request.headers[REQUEST_ID_HEADER]?.takeIf { it.isWellFormedId() } ?: newRequestId())
    return Exchange(
        requestId = requestId,
        workspace = WorkspaceId(request.headers[WORKSPACE_HEADER]?.takeIf { it.isWellFormedId() } ?: DEFAULT_WORKSPACE),
        head = RequestHead(request.httpMethod, request.path(), request.uri, request.headers),
        arrivedAt = timeSource.markNow(),
        body = request.receiveChannel(),
        response = KtorCallerResponse(this, requestId, windowBytes),
    )
}

private fun newRequestId(): String = UUID.randomUUID().toString()

private fun String.isWellFormedId(): Boolean = matches(WELL_FORMED_ID)

private class StreamContent(
    override val status: HttpStatusCode,
    override val contentType: ContentType?,
    private val body: ByteReadChannel,
) : OutgoingContent.ReadChannelContent() {
    override fun readFrom(): ByteReadChannel = body
}

private class KtorCallerResponse(
    private val call: ApplicationCall,
    private val requestId: RequestId,
    private val windowBytes: Int,
) : CallerResponse {
    override var started: Boolean = false
        private set

    override suspend fun send(status: HttpStatusCode, headers: Headers, body: ByteArray) {
        begin(headers)
        call.respondBytes(body, headers.contentTypeOrNull(), status)
    }

    override suspend fun stream(
        status: HttpStatusCode,
        headers: Headers,
        write: suspend (ByteSink) -> Unit,
    ): Boolean {
        begin(headers)
        val body = windowedBodyOf(windowBytes)
        return try {
            coroutineScope {
                launch {
                    write(body)
                    body.finish()
                }
                call.respond(StreamContent(status, headers.contentTypeOrNull(), body))
            }
            true
        } catch (_: IOException) {
            false
        }
    }

    private fun begin(headers: Headers) {
        check(!started) { "the response to request $requestId has already started" }
        started = true
        call.response.header(REQUEST_ID_HEADER, requestId.value)
        headers.forEach { name, values ->
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) {
                values.forEach { call.response.header(name, it) }
            }
        }
    }

    private fun Headers.contentTypeOrNull(): ContentType? = get(HttpHeaders.ContentType)?.let { ContentType.parse(it) }
}

private const val DEFAULT_WORKSPACE: String = "default"
private val WELL_FORMED_ID: Regex = Regex("[A-Za-z0-9_.:@#\\[\\]-]{1,128}")
