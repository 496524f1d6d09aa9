/** The response to one caller, over all attempts of the request. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.model.EndpointId

/** An error response of an endpoint, held back until it is known whether another endpoint succeeds. */
internal class HeldErrorResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray)

/** Where the response to an attempt came from; [exchanges] counts those on its connection, this one included. */
internal class ResponseSource(val endpoint: EndpointId, val exchanges: Int)

/** Forwards responses of endpoints to one caller. */
internal class CallerResponse(
    private val exchange: CallerExchange,
    private val wire: WireFormat,
    isStream: Boolean,
    resumedAfter: Long?,
) {
    private var heldError: HeldErrorResponse? = null
    private var streamHead: HttpResponse? = null

    /** Relay of the stream, over all attempts; null if the route is not a stream. */
    val relay: StreamRelay? = if (isStream) StreamRelay(exchange, ::beginStream, resumedAfter) else null

    /** Status of the response that was sent completely; 0 before that. */
    var status: Int = 0
        private set

    /** Source of the last response head that names the request, or null. */
    var source: ResponseSource? = null

    /** [System.nanoTime] when the response began, or null. */
    var firstByteNanos: Long? = null
        private set

    val isDelivered: Boolean get() = status != 0

    /** The head and at least one event of a stream were sent. */
    val hasBegun: Boolean get() = relay?.hasBegun ?: false

    /** Sends a complete response of an endpoint. */
    fun deliver(status: Int, headers: HttpHeaders, body: ByteBuf) {
        wire.removeHopByHopHeaders(headers)
        firstByteNanos = System.nanoTime()
        this.status = status
        exchange.respond(status, headers, body)
    }

    /** Holds back the error response of an endpoint; it is sent if no other endpoint succeeds. */
    fun holdError(error: HeldErrorResponse) {
        heldError = error
    }

    /** Sends the held error response; returns false if there is none or a stream has begun. */
    fun deliverHeldError(): Boolean {
        val error = heldError
        if (error == null || hasBegun) return false
        deliver(error.status, error.headers, Unpooled.wrappedBuffer(error.body))
        return true
    }

    /** Sets the head of the stream; only the first endpoint's head is used. */
    fun setStreamHead(head: HttpResponse) {
        if (streamHead == null) streamHead = head
    }

    /** Ends the stream as complete. */
    fun endStream() {
        if (!hasBegun) beginStream()
        status = checkNotNull(streamHead).status().code()
        exchange.end()
    }

    private fun beginStream() {
        val head = checkNotNull(streamHead) { "the stream has no response head" }
        wire.removeHopByHopHeaders(head.headers())
        firstByteNanos = System.nanoTime()
        exchange.begin(head.status().code(), head.headers())
    }
}
