/** HTTP routes by which the daemon controls an engine: orders, and export and import of KV caches. */
package pistachiopass.standins.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.delay

/** Answers orders and KV transfers of the engine that [runner] runs. */
internal class ControlRoutes(private val runner: EngineRunner, private val settings: EngineSettings) {
    /** Adds all routes of control. */
    fun addTo(route: Route) {
        route.post("/v1/orders") { order(call) }
        route.get("/v1/kv/{requestId}") { exportKv(call) }
        route.put("/v1/kv/{requestId}") { importKv(call) }
    }

    private suspend fun order(call: ApplicationCall) {
        val order = parseOrNull<EngineOrder>(call.receive())
        if (order == null || !order.isComplete) {
            call.respondError(HttpStatusCode.BadRequest, "bad_request", "the body is no complete order")
            return
        }
        val startId = runner.use { startId }
        val refusal = runner.use { loaded.refusalOrNull(order) } ?: carryOut(order, startId)
        if (refusal == null) {
            call.respondJson(OrderResponse(applied = true))
        } else {
            call.respondJson(refusal, HttpStatusCode.Conflict)
        }
    }

    /** Takes the time of the order and returns the refusal, if a higher number or a restart came in between. */
    private suspend fun carryOut(order: EngineOrder, startId: String): OrderResponse? {
        if (order.kind.startsWith("load-")) delay(settings.modelLoadMillis)
        return runner.use { nowMillis ->
            if (this.startId == startId) applyOrder(order, nowMillis) else OrderResponse(applied = false)
        }
    }

    private suspend fun exportKv(call: ApplicationCall) {
        val requestId = call.pathValue("requestId")
        delay(transferMillis(runner.use { unfinishedOrNull(requestId)?.heldTokens ?: 0 }))
        val cache = runner.use { unfinishedOrNull(requestId)?.toKvCache() }
        if (cache == null) {
            call.respondError(HttpStatusCode.NotFound, "not_held", "request $requestId is not running")
        } else {
            call.respondJson(cache)
        }
    }

    private suspend fun importKv(call: ApplicationCall) {
        val cache = parseOrNull<KvCache>(call.receive())
        if (cache == null || cache.requestId != call.pathValue("requestId")) {
            call.respondError(HttpStatusCode.BadRequest, "bad_request", "the body is no KV cache of the request")
            return
        }
        delay(transferMillis(cache.prefilledTokens.toLong() + cache.producedTokens))
        when (val outcome = runner.use { importKv(cache, it) }) {
            ImportOutcome.IMPORTED -> call.respondJson(KvImported(cache.streamId, runner.use { startId }))
            ImportOutcome.UNKNOWN_MODEL ->
                call.respondError(HttpStatusCode.NotFound, "model_not_found", "model ${cache.model} is not loaded")
            else -> call.respondError(HttpStatusCode.Conflict, outcome.name.lowercase(), "the request cannot go on")
        }
    }

    private fun transferMillis(tokens: Long): Long = tokens * MILLIS_PER_SECOND / settings.kvTokensPerSecond

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}

private fun EngineCore.unfinishedOrNull(requestId: String): GenerationStream? =
    streams.streamOfRequestOrNull(requestId)?.takeIf { it.state != StreamState.KEPT }
