/** HTTP server for operators: health, readiness, metrics and status. */
package pistachiopass.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json
import pistachiopass.status.InstanceStatus
import pistachiopass.status.STATUS_PATH

/** Provides the values that the admin server returns. */
public interface AdminSource {
    /** Returns whether the instance should get new requests. */
    public fun isReady(): Boolean

    /** Returns the metrics in Prometheus text format. */
    public fun scrape(): String

    /** Returns the status of the instance. */
    public fun status(): InstanceStatus
}

/** Installs the routes of the admin address: `/health`, `/ready`, `/metrics` and `/status`. */
public fun Application.serveAdmin(source: AdminSource) {
    routing {
        get("/health") { call.respondText("alive\n") }
        get("/ready") {
            val ready = source.isReady()
            val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
        }
        get("/metrics") { call.respondText(source.scrape()) }
        get(STATUS_PATH) { call.respondText(Json.encodeToString(source.status()), ContentType.Application.Json) }
    }
}
