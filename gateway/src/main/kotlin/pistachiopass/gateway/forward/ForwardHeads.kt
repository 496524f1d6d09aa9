/** Builds the request head that is sent to an endpoint from the one that the caller sent. */
package pistachiopass.gateway.forward

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.model.ForwardMetadata
import pistachiopass.gateway.model.PrefillHelper
import pistachiopass.gateway.placement.Assignment
import pistachiopass.shortage.urgencyOf

/** Returns the head of [request] for [assignment]; method, target and end-to-end headers are those of the caller. */
internal fun forwardHeadOf(
    request: ForwardedRequest,
    assignment: Assignment,
    helpers: List<PrefillHelper>,
    wire: WireFormat,
): HttpRequest {
    val original = request.exchange.request
    val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.uri())
    head.headers().add(original.headers())
    removeHopByHopHeaders(head.headers())
    val bodyBytes = request.exchange.body.readableBytes()
    if (bodyBytes > 0 || original.method() !in BODILESS) head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
    val relayed = request.response.relay?.takeIf { it.hasBegun }?.lastEventId
    val metadata = ForwardMetadata(
        assignment.endpoint.id,
        maxOf(1L, request.remainingMillis()),
        request.admitted.workspace,
        urgencyOrNull(request),
        helpers,
        lastEventId = relayed?.toString() ?: request.metadata.lastEventId,
    )
    wire.writeForwardedRequest(head.headers(), metadata)
    return head
}

private fun removeHopByHopHeaders(headers: HttpHeaders) {
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }.forEach(headers::remove)
    HOP_BY_HOP_HEADERS.forEach(headers::remove)
}

/**
 * Returns the urgency from 0, the most urgent, to 9, or null for a service without model engines.
 *
 * It follows the rank if requests to the service can have more than one. Otherwise, the tighter the latency target, the
 * more urgent the request is, and more so once half of the target has elapsed.
 */
private fun urgencyOrNull(request: ForwardedRequest): Int? =
    urgencyOrNull(request.admitted, request.elapsedMillis(), request.isPromised)

/**
 * Returns the urgency of a request that was admitted as [admitted] and arrived [elapsedMillis] ago. A caller that
 * returned to promised capacity comes first, since later ranks would otherwise be overtaken until they time out.
 */
internal fun urgencyOrNull(admitted: Admitted, elapsedMillis: Long, isPromised: Boolean = false): Int? {
    val targetLatencyMillis = admitted.route.targetLatencyMillis
    val ranks = admitted.table.ranksOf(admitted.service.name)
    return when {
        admitted.service.engine == null -> null
        ranks.size > 1 && isPromised -> 0
        ranks.size > 1 -> urgencyOf(admitted.rank, ranks, isLate = elapsedMillis > targetLatencyMillis)
        else -> urgencyByTarget(targetLatencyMillis, elapsedMillis)
    }
}

private fun urgencyByTarget(targetLatencyMillis: Long, elapsedMillis: Long): Int {
    val rank = when {
        targetLatencyMillis <= SHORT_TARGET_MILLIS -> 0
        targetLatencyMillis <= MEDIUM_TARGET_MILLIS -> 1
        else -> 2
    }
    val isHalfElapsed = elapsedMillis * 2 > targetLatencyMillis
    return rank + if (isHalfElapsed) URGENCY_LATE else URGENCY_EARLY
}

private val HOP_BY_HOP_HEADERS = listOf(
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
)
private val BODILESS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS)

/** Latency targets above which a request is less urgent. */
private const val SHORT_TARGET_MILLIS: Long = 500
private const val MEDIUM_TARGET_MILLIS: Long = 2_000
private const val URGENCY_LATE: Int = 1
private const val URGENCY_EARLY: Int = 2
