/** Serves the control address: quarantine, metrics and status for operators, the published state for instances. */
package pistachiopass.gateway.control

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.peers.PeerTraffic
import pistachiopass.model.PromptPartId
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.quarantine.QUARANTINE_PATH
import pistachiopass.quarantine.QuarantinedPart

/** Responds for operators, and passes all other requests to [others]. */
internal class ControlHandler(
    private val quarantine: PartQuarantine,
    private val load: LoadMetrics,
    report: InstanceReport,
    traffic: PeerTraffic,
    private val others: CallerHandler,
) : CallerHandler {
    private val metrics = QuarantineMetrics(quarantine)
    private val unread = UnreadMetrics(report::unreadParts)
    private val store = StoreMetrics(report::store)
    private val peers = PeerMetrics(traffic)

    override suspend fun serve(exchange: CallerExchange) {
        val path = QueryStringDecoder(exchange.request.uri()).path()
        val method = exchange.request.method()
        when {
            path == METRICS_PATH && method == HttpMethod.GET ->
                exchange.respond(HttpResponseStatus.OK, METRICS_TYPE, scrape())
            path == QUARANTINE_PATH && method == HttpMethod.GET ->
                exchange.respond(HttpResponseStatus.OK, JSON_TYPE, quarantinedJson())
            path.startsWith("$QUARANTINE_PATH/") && method == HttpMethod.DELETE -> {
                val isLifted = quarantine.lift(PromptPartId(path.removePrefix("$QUARANTINE_PATH/")))
                val status = if (isLifted) HttpResponseStatus.OK else HttpResponseStatus.NOT_FOUND
                exchange.respond(status, JSON_TYPE, quarantinedJson())
            }
            else -> others.serve(exchange)
        }
    }

    private fun scrape(): String =
        metrics.scrape() + load.scrape() + unread.scrape() + store.scrape() + peers.scrape()

    private fun quarantinedJson(): String =
        Json.encodeToString(ListSerializer(QuarantinedPart.serializer()), quarantine.quarantined())

    private fun CallerExchange.respond(status: HttpResponseStatus, type: String, body: String) {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, type)
        respond(status.code(), headers, Unpooled.copiedBuffer(body, Charsets.UTF_8))
    }
}

private const val METRICS_PATH = "/metrics"
private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
private const val JSON_TYPE = "application/json"
