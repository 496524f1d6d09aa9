/** Serves the status of the instance, which `pistachioctl status` shows. */
package pistachiopass.gateway.control

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.status.InstanceStatus
import pistachiopass.status.STATUS_PATH

/** Responds with [status] as JSON, and passes requests for other paths to [others]. */
internal class StatusHandler(private val status: () -> InstanceStatus, private val others: CallerHandler) :
    CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val request = exchange.request
        if (request.method() != HttpMethod.GET || QueryStringDecoder(request.uri()).path() != STATUS_PATH) {
            return others.serve(exchange)
        }
        val body = Json.encodeToString(InstanceStatus.serializer(), status())
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        exchange.respond(HttpResponseStatus.OK.code(), headers, Unpooled.copiedBuffer(body, Charsets.UTF_8))
    }
}
