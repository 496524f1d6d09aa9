/** The document calls of the platform: reading, watching and, for tests, writing. */
package pistachiopass.standins.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.Published
import pistachiopass.standins.fault.FaultSwitches
import pistachiopass.standins.respondJson

/** Answers a write: the version under which the value is published. */
@Serializable
private data class WriteResponse(val name: String, val version: Long)

/** Adds `GET /v1/documents/{name}` with its long poll; `absent` answers `503`, also to watches that wait. */
internal fun Route.documentRoutes(store: DocumentStore, calls: CallCounter, switches: FaultSwitches) {
    get("/v1/documents/{name}") {
        calls.count(call.request.headers[INSTANCE_HEADER] ?: UNKNOWN_CALLER)
        val name = call.parameters["name"].orEmpty()
        val after = call.request.queryParameters["after"]
        val waitMillis = call.request.queryParameters["waitMillis"]?.toLongOrNull() ?: 0
        when {
            switches[ABSENT] != null -> call.respond(HttpStatusCode.ServiceUnavailable)
            name !in DOCUMENT_NAMES -> call.respond(HttpStatusCode.NotFound)
            after == null -> call.respondDocument(store.getOrNull(name))
            after.toLongOrNull() == null -> call.respond(HttpStatusCode.BadRequest)
            else -> call.respondWatch(watch(store, switches, name, after.toLong(), waitMillis))
        }
    }
}

/** Adds `PUT /admin/documents/{name}` and `GET /admin/calls`, by which tests play the operators. */
internal fun Route.platformAdminRoutes(store: DocumentStore, calls: CallCounter) {
    put("/admin/documents/{name}") {
        val name = call.parameters["name"].orEmpty()
        val value = jsonOrNull(call.receiveText())
        when {
            name !in DOCUMENT_NAMES -> call.respond(HttpStatusCode.NotFound)
            value == null -> call.respond(HttpStatusCode.BadRequest)
            else -> call.respondJson(WriteResponse(name, store.put(name, value).version.value))
        }
    }
    get("/admin/calls") { call.respondJson(calls.report()) }
}

/** The outcome of a watch. */
private sealed interface WatchOutcome {
    data class Changed(val document: Published<JsonElement>) : WatchOutcome

    data object Absent : WatchOutcome
}

private suspend fun watch(
    store: DocumentStore,
    switches: FaultSwitches,
    name: String,
    after: Long,
    waitMillis: Long,
): WatchOutcome? {
    val newer =
        store.changesOf(name).map { document ->
            document?.takeIf { it.version.value > after }?.let(WatchOutcome::Changed)
        }
    val absent = switches.changesOf(ABSENT).map { setting -> setting?.let { WatchOutcome.Absent } }
    // A wait of no time still gets a first look at the document.
    return withTimeoutOrNull(maxOf(waitMillis, 1)) { merge(newer, absent).filterNotNull().first() }
}

private suspend fun ApplicationCall.respondWatch(outcome: WatchOutcome?) {
    when (outcome) {
        null -> respond(HttpStatusCode.NotModified)
        WatchOutcome.Absent -> respond(HttpStatusCode.ServiceUnavailable)
        is WatchOutcome.Changed -> respondDocument(outcome.document)
    }
}

private suspend fun ApplicationCall.respondDocument(document: Published<JsonElement>?) {
    if (document == null) {
        respond(HttpStatusCode.NotFound)
    } else {
        respondJson(document)
    }
}

private fun jsonOrNull(text: String): JsonElement? =
    try {
        Json.parseToJsonElement(text)
    } catch (_: SerializationException) {
        null
    }

private const val INSTANCE_HEADER: String = "X-Instance"
private const val UNKNOWN_CALLER: String = "unknown"
