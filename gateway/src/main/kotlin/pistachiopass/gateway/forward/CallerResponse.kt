/** What the caller of one request has got so far, over all sendings of the request. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.CallerExchange

/** An endpoint's own failure, kept until it is clear that no other endpoint does better. */
internal class HeldErrorResponse(val status: Int, val headers: HttpHeaders, val body: ByteArray)

/** Delivers endpoints' answers to one caller. */
internal class CallerResponse(
    private val exchange: CallerExchange,
    private val wire: WireFormat,
    isStream: Boolean,
    resumedAfter: Long?,
) {
    private var heldError: HeldErrorResponse? = null
    private var streamHead: HttpResponse? = null

    /** Relay of the stream, over all sendings; null on routes that give none. */
    val relay: StreamRelay? = if (isStream) StreamRelay(exchange, ::beginStream, resumedAfter) else null

    /** Status of the answer that was delivered in full; 0 while there is none. */
    var status: Int = 0
        private set

    /** Steady time of the first byte of the answer, or null. */
    var firstByteNanos: Long? = null
        private set

    val isDelivered: Boolean get() = status != 0

    /** A part of a stream has been delivered. */
    val hasBegun: Boolean get() = relay?.hasBegun ?: false

    /** Delivers an endpoint's whole answer. */
    fun deliver(status: Int, headers: HttpHeaders, body: ByteBuf) {
        wire.writeAnswer(headers)
        firstByteNanos = System.nanoTime()
        this.status = status
        exchange.answer(status, headers, body)
    }

    /** Keeps an endpoint's own failure, which is delivered if no other endpoint does better. */
    fun holdError(error: HeldErrorResponse) {
        heldError = error
    }

    /** Delivers a kept answer and returns true, or returns false if none can be delivered. */
    fun deliverHeldError(): Boolean {
        val error = heldError
        if (error == null || hasBegun) return false
        deliver(error.status, error.headers, Unpooled.wrappedBuffer(error.body))
        return true
    }

    /** Prepares to pass on a stream; only the first endpoint's head is passed on. */
    fun setStreamHead(head: HttpResponse) {
        if (streamHead == null) streamHead = head
    }

    /** Ends the caller's stream as whole. */
    fun endStream() {
        if (!hasBegun) beginStream()
        status = checkNotNull(streamHead).status().code()
        exchange.end()
    }

    private fun beginStream() {
        val head = checkNotNull(streamHead) { "no head of a stream was received" }
        wire.writeAnswer(head.headers())
        firstByteNanos = System.nanoTime()
        exchange.begin(head.status().code(), head.headers())
    }
}
