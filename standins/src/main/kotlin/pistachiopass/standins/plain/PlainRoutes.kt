/** The calls of a plain service: any booking or other request, the load report and the record of runs. */
package pistachiopass.standins.plain

import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import kotlinx.serialization.Serializable
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.standins.respondJson
import java.security.MessageDigest
import java.util.HexFormat

/** Reports one request held by the service; the fields are those of an engine's load report. */
@Serializable
private data class ReportedRequest(val id: String, val tokens: Long, val state: String)

/** Reports what the service holds. */
@Serializable
private data class PlainLoadReport(val endpoint: String, val startId: String, val requests: List<ReportedRequest>)

/** Answers a request with its own identity, so that a caller can tell whether the answer is to its request. */
@Serializable
private data class RunResponse(val endpoint: String, val run: RunIdentity)

/** Adds every call of the plain service named [endpoint], whose present life is [startId]. */
internal fun Route.plainRoutes(endpoint: String, startId: String, runs: RunLog) {
    get("/v1/load") {
        val held = runs.heldRequestIds().map { ReportedRequest(it, tokens = 0, state = RUNNING_STATE) }
        call.respondJson(PlainLoadReport(endpoint, startId, held))
    }
    get("/admin/runs") { call.respondJson(runs.report()) }
    route("{...}") {
        handle {
            val identity = call.runIdentity()
            runs.begin(identity)
            try {
                call.respondJson(RunResponse(endpoint, identity))
            } finally {
                runs.end(identity)
            }
        }
    }
}

private suspend fun ApplicationCall.runIdentity(): RunIdentity {
    val body = receive<ByteArray>()
    return RunIdentity(
        key = request.headers["Idempotency-Key"],
        path = request.path(),
        requestId = request.headers[REQUEST_ID_HEADER],
        bodyHash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body)),
    )
}

/** The state of a request at work, in the words of an engine's load report. */
private const val RUNNING_STATE: String = "decode"
