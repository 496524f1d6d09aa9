/** Gives the published state to instances that fetch it. */
package pistachiopass.gateway.peers

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.delay
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.state.PublishedState
import pistachiopass.published.revisionOrNull

/**
 * Responds with what [state] has beyond the position in the query, or with what it believes against the store; 503
 * while no state is known, and while others are given so much that this reader would wait long.
 */
internal class PeerStateHandler(
    private val state: PublishedState,
    private val monotonicMillis: () -> Long = ::monotonicMillis,
) : CallerHandler {
    private val schedule = TransferSchedule(monotonicMillis)
    private val bodies = StateBodies(state)

    override suspend fun serve(exchange: CallerExchange) {
        val uri = exchange.request.uri()
        val canGive = state.position != null && !schedule.isFull
        val ageMillis = state.knownState.freshness.ageMillisOrNull().takeIf { canGive }
        when {
            uri.substringBefore('?') != STATE_PATH -> exchange.refuse(HttpResponseStatus.NOT_FOUND)
            ageMillis == null -> exchange.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
            else -> exchange.transfer(bodyFor(exchange, ageMillis), ageMillis)
        }
    }

    private fun bodyFor(exchange: CallerExchange, ageMillis: Long): StateBody {
        val uri = exchange.request.uri()
        if (uri.endsWith(HELD_QUERY)) return bodies.heldBody(ageMillis)
        val encodings = exchange.request.headers()
        val takesGzip = encodings.containsValue(HttpHeaderNames.ACCEPT_ENCODING, HttpHeaderValues.GZIP, true)
        return bodies.bodyAfter(revisionOrNull(uri.substringAfter(AFTER_QUERY, "")), takesGzip, ageMillis)
    }

    /** Sends [body] part by part at the times of the schedule. */
    private suspend fun CallerExchange.transfer(body: StateBody, ageMillis: Long) {
        val bytes = body.bytes
        val transfer = schedule.add(bytes.size)
        val headers = DefaultHttpHeaders()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/cbor")
            .set(STATE_AGE_HEADER, ageMillis)
        if (body.isCompressed) headers.set(HttpHeaderNames.CONTENT_ENCODING, HttpHeaderValues.GZIP)
        begin(HttpResponseStatus.OK.code(), headers)
        for (sent in bytes.indices step PART_BYTES) {
            delay(transfer.dueMillis(sent.toDouble() / bytes.size) - monotonicMillis())
            write(Unpooled.wrappedBuffer(bytes, sent, minOf(PART_BYTES, bytes.size - sent)))
        }
        end()
    }

    private fun CallerExchange.refuse(status: HttpResponseStatus): Unit =
        respond(status.code(), DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
}

/** Takes 10 ms on the slowest links of the deployments, for which another message waits at most. */
private const val PART_BYTES: Int = 16 * 1024
