/** HTTP client for short calls with a small response, to the platform's store and, for orders, to endpoints. */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.state.AgeClock

/** A response that was received in full. */
public class HttpClientResponse(public val status: Int, public val headers: HttpHeaders, public val body: ByteArray)

/** Makes calls over pooled connections; a response with a body of more than [bodyBytesMax] fails. */
public class HttpClient internal constructor(
    private val pool: UpstreamPool<Address>,
    private val bodyBytesMax: Int = BODY_BYTES_MAX,
) {
    /** Returns the response to a GET of [uri], or null if it was not received in full within [timeoutMillis]. */
    public suspend fun getOrNull(
        address: Address,
        uri: String,
        timeoutMillis: Long,
        headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
    ): HttpClientResponse? {
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri)
        request.headers().add(headers)
        return callOrNull(address, request, Unpooled.EMPTY_BUFFER, timeoutMillis)
    }

    /** Returns the response to a POST of the JSON [body], or null if it was not received in full in [timeoutMillis]. */
    public suspend fun postOrNull(
        address: Address,
        uri: String,
        body: String,
        timeoutMillis: Long,
    ): HttpClientResponse? {
        val bytes = body.encodeToByteArray()
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri)
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        return callOrNull(address, request, Unpooled.wrappedBuffer(bytes), timeoutMillis)
    }

    /** Closes all idle connections. */
    public fun reconnect(): Unit = pool.closeAll()

    private suspend fun callOrNull(
        address: Address,
        request: HttpRequest,
        body: ByteBuf,
        timeoutMillis: Long,
    ): HttpClientResponse? = withTimeoutOrNull(timeoutMillis) {
        val connection = pool.acquireOrNull(address, address, IDLE_MAX_MILLIS) ?: return@withTimeoutOrNull null
        try {
            request.headers().set(HttpHeaderNames.HOST, address.toString())
            connection.send(request, body) { true }
            receiveOrNull(connection)
        } finally {
            pool.release(address, connection)
        }
    }

    private suspend fun receiveOrNull(connection: UpstreamConnection): HttpClientResponse? {
        var head: HttpResponse? = null
        val body = Unpooled.buffer()
        var part = connection.receive()
        while (part !is ResponsePart.End && part !is ResponsePart.Failed && body.readableBytes() <= bodyBytesMax) {
            if (part is ResponsePart.Head) head = part.response
            if (part is ResponsePart.Data) append(body, part.bytes)
            part = connection.receive()
        }
        if (part is ResponsePart.Data) part.bytes.release()
        if (part !is ResponsePart.End || head == null) return null
        val bytes = ByteArray(body.readableBytes()).also(body::readBytes)
        return HttpClientResponse(head.status().code(), head.headers(), bytes)
    }

    private fun append(body: ByteBuf, bytes: ByteBuf) {
        body.writeBytes(bytes)
        bytes.release()
    }
}

/**
 * Returns a client for orders to endpoints.
 *
 * An endpoint may respond twice, and responses to orders do not name them. So each order gets a connection of its own.
 */
internal fun orderClientOf(eventLoop: EventLoop, clock: AgeClock): HttpClient =
    HttpClient(UpstreamPool(eventLoop, clock, isReusing = false), ORDER_BODY_BYTES_MAX)

/** Several times what the platform publishes; the state of an instance has to fit its memory. */
private const val BODY_BYTES_MAX: Int = 16 * 1024 * 1024

/** Limit for the responses to orders, which are a few fields long. */
private const val ORDER_BODY_BYTES_MAX: Int = 64 * 1024
