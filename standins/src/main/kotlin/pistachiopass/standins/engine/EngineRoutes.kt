/** HTTP routes of the stand-in engine. */
package pistachiopass.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.flow.first
import kotlinx.serialization.SerializationException
import pistachiopass.model.PRIORITY_HEADER
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.standins.fault.FaultSwitches
import java.util.UUID

/** Answers the calls of callers and of the daemon. */
internal class EngineRoutes(private val runner: EngineRunner, private val faults: FaultSwitches) {
    @Volatile
    private var staleLoad: LoadReport? = null

    /** Adds all routes of the engine. */
    fun addTo(route: Route) {
        route.post("/v1/chat/completions") { complete(call) }
        route.get("/v1/streams/{streamId}") { resume(call) }
        route.delete("/v1/streams/{streamId}") {
            cancel(call) { streams.streamOrNull(call.pathValue("streamId")) }
        }
        route.delete("/v1/requests/{requestId}") {
            cancel(call) { streams.streamOfRequestOrNull(call.pathValue("requestId")) }
        }
        route.get("/v1/load") { reportLoad(call) }
        route.get("/v1/cache-events") { reportCacheEvents(call) }
        route.get("/admin/record") { call.respondJson(runner.use { record.report() }) }
    }

    private suspend fun complete(call: ApplicationCall) {
        val body = call.receive<ByteArray>()
        val completion = parseOrNull<ChatCompletionCall>(body)
        if (completion == null) {
            call.respondError(HttpStatusCode.BadRequest, "bad_request", "the body is no chat completion call")
            return
        }
        val request = completion.toGeneration(
            requestId = call.request.header(REQUEST_ID_HEADER) ?: UUID.randomUUID().toString(),
            priority = call.request.header(PRIORITY_HEADER)?.toIntOrNull() ?: completion.priority,
        )
        when (val admission = runner.use { submit(request, it) }) {
            is Admission.Accepted -> answer(call, admission.stream, completion.stream)
            is Admission.Refused -> refuse(call, admission.retryAfterMillis)
            Admission.UnknownModel ->
                call.respondError(HttpStatusCode.NotFound, "model_not_found", "model ${request.model} is not loaded")
        }
    }

    private suspend fun answer(call: ApplicationCall, stream: GenerationStream, isStreamed: Boolean) {
        if (isStreamed) {
            writeStream(call, stream, fromOffset = 0)
            return
        }
        val end = stream.progress.first { it.end != null }.end
        call.addStreamHeaders(stream)
        when (end) {
            StreamEnd.FINISHED -> call.respondJson(stream.toCompletion())
            StreamEnd.CANCELLED -> call.respondError(HttpStatusCode.Gone, "cancelled", "the request was cancelled")
            else -> call.respondError(HttpStatusCode.InternalServerError, "lost", "the engine fell over")
        }
    }

    private suspend fun resume(call: ApplicationCall) {
        val streamId = call.pathValue("streamId")
        val fromOffset = call.request.queryParameters["offset"]?.toIntOrNull() ?: 0
        val stream = runner.use { streams.streamOrNull(streamId) }
        when {
            stream != null -> writeStream(call, stream, maxOf(0, fromOffset))
            runner.use { streams.wasCancelled(streamId) } ->
                call.respondError(HttpStatusCode.Gone, "cancelled", "stream $streamId was cancelled")
            else -> call.respondError(HttpStatusCode.NotFound, "not_kept", "stream $streamId is not kept")
        }
    }

    private suspend fun writeStream(call: ApplicationCall, stream: GenerationStream, fromOffset: Int) {
        call.addStreamHeaders(stream)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            StreamWriter(this, stream, faults).write(fromOffset)
        }
    }

    private suspend fun cancel(call: ApplicationCall, find: EngineCore.() -> GenerationStream?) {
        val stream = runner.use { nowMillis -> find()?.also { cancel(it, nowMillis) } }
        call.respond(if (stream == null) HttpStatusCode.NotFound else HttpStatusCode.NoContent)
    }

    private suspend fun reportLoad(call: ApplicationCall) {
        if (faults[NO_LOAD] != null) {
            call.respondError(HttpStatusCode.ServiceUnavailable, "no_load", "the load report is switched off")
            return
        }
        val report = runner.use { loadReport(it) }
        val last = staleLoad
        if (faults[STALE_LOAD] != null && last != null) {
            call.respondJson(last)
        } else {
            staleLoad = report
            call.respondJson(report)
        }
    }

    private suspend fun reportCacheEvents(call: ApplicationCall) {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        call.respondJson(runner.use { cacheEvents.after(after, it) })
    }

    private suspend fun refuse(call: ApplicationCall, retryAfterMillis: Long) {
        val retryAfterSeconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        call.response.header(HttpHeaders.RetryAfter, retryAfterSeconds)
        call.respondError(HttpStatusCode.ServiceUnavailable, "overloaded", "the queue is full")
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}

/** Returns the body parsed as [T], or null when it is malformed. */
internal inline fun <reified T> parseOrNull(body: ByteArray): T? = try {
    ENGINE_JSON.decodeFromString<T>(body.decodeToString())
} catch (_: SerializationException) {
    null
}

/** Answers with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(ENGINE_JSON.encodeToString(value), ContentType.Application.Json, status)
}

/** Answers with an error body. */
internal suspend fun ApplicationCall.respondError(status: HttpStatusCode, code: String, message: String) {
    respondJson(ErrorBody(ErrorDetail(code, message)), status)
}

/** Returns a variable of the path. */
internal fun ApplicationCall.pathValue(name: String): String =
    requireNotNull(parameters[name]) { "no $name in the path" }

private fun ApplicationCall.addStreamHeaders(stream: GenerationStream) {
    response.header("X-Stream-Id", stream.streamId)
    response.header("X-Start-Id", stream.startId)
}
