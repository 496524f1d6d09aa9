/** Responds to the readiness probe of the load balancer. */
package pistachiopass.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler

/** Responds 200 at [path] while [isReady], 503 while not, and 404 at other paths. */
internal class ReadinessHandler(private val path: String, private val isReady: () -> Boolean) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val status = when {
            exchange.request.uri().substringBefore('?') != path -> HttpResponseStatus.NOT_FOUND
            isReady() -> HttpResponseStatus.OK
            else -> HttpResponseStatus.SERVICE_UNAVAILABLE
        }
        exchange.respond(status.code(), DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
    }
}
