/** HTTP client for short calls with a small response, to the platform's store and, for orders, to endpoints. */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.model.Address

/** A response that was received in full. */
public class HttpClientResponse(public val status: Int, public val body: ByteArray)

/** Makes calls over pooled connections. */
public class HttpClient internal constructor(private val pool: UpstreamPool<Address>) {
    /** Returns the response to a GET of [uri], or null if it was not received in full within [timeoutMillis]. */
    public suspend fun getOrNull(address: Address, uri: String, timeoutMillis: Long): HttpClientResponse? =
        callOrNull(address, HttpMethod.GET, uri, body = null, timeoutMillis)

    /** Returns the response to a POST of the JSON [body], or null if it was not received in full in [timeoutMillis]. */
    public suspend fun postOrNull(
        address: Address,
        uri: String,
        body: String,
        timeoutMillis: Long,
    ): HttpClientResponse? = callOrNull(address, HttpMethod.POST, uri, body, timeoutMillis)

    /** Closes all idle connections. */
    public fun reconnect(): Unit = pool.closeAll()

    private suspend fun callOrNull(
        address: Address,
        method: HttpMethod,
        uri: String,
        body: String?,
        timeoutMillis: Long,
    ): HttpClientResponse? = withTimeoutOrNull(timeoutMillis) {
        val connection = pool.acquireOrNull(address, address, IDLE_MAX_MILLIS) ?: return@withTimeoutOrNull null
        try {
            val bytes = body?.encodeToByteArray()
            val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri)
            request.headers().set(HttpHeaderNames.HOST, address.toString())
            if (bytes != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
            }
            connection.send(request, if (bytes == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(bytes))
            receiveOrNull(connection)
        } finally {
            pool.release(address, connection)
        }
    }

    private suspend fun receiveOrNull(connection: UpstreamConnection): HttpClientResponse? {
        var status = 0
        val body = Unpooled.buffer()
        while (true) {
            when (val part = connection.receive()) {
                is ResponsePart.Head -> status = part.response.status().code()
                is ResponsePart.Data -> append(body, part.bytes)
                is ResponsePart.End ->
                    return HttpClientResponse(status, ByteArray(body.readableBytes()).also(body::readBytes))
                is ResponsePart.Failed -> return null
            }
        }
    }

    private fun append(body: ByteBuf, bytes: ByteBuf) {
        body.writeBytes(bytes)
        bytes.release()
    }
}
