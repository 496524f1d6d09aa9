/**
 * One connection to an endpoint or to the platform's store.
 *
 * The connection carries one exchange at a time and reports the response part by part. A response that was cut off,
 * such as a chunked one without its last chunk or one whose connection was reset, ends in [ResponsePart.Failed] and
 * never in [ResponsePart.End]. A response without a length or chunks ends with its connection. It is complete only if
 * it has a body and the server closed the connection in order: a reset may be reported to a write alone, and the
 * decoder then sees the same end of the channel. The connections of a process that has ended, or that closes its
 * output first, are closed in order as well, and reset if bytes of the request are unread or still arrive. What was
 * written may be unread in the buffers of both ends, so after a request with a body the end is confirmed by the absence
 * of a reset.
 *
 * A server may respond twice, the second time late and perhaps only in part, so anything may stand where the response
 * is expected. Whole responses that the [ResponseMatcher] rejects are skipped, with their bodies: those to earlier
 * requests have one also while a HEAD request waits. Bytes that arrive while no exchange is in progress, that follow
 * the response, or that belong to two responses at once end the connection, as does a skipped response that states a
 * body where HTTP permits none. It is reusable only if the request was written in full and the response was received in
 * full, and not after a HEAD request, since its late second response would be read with a body.
 */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import pistachiopass.http.RESET_POLL_MILLIS
import pistachiopass.http.ResetWatch
import pistachiopass.http.SyntaxProblem
import pistachiopass.http.resetPollsAfter
import java.util.concurrent.TimeUnit

/** The client side of HTTP/1.1 on [channel]. */
internal class UpstreamConnection(val channel: Channel, private val log: ConnectionLog) {
    private val decoder = ResponseDecoder({ exchange?.isOwn(it) ?: true }) { spoil(StrayBytes.NOT_HTTP, it) }
    private var exchange: UpstreamExchange? = null
    private var closesAfterResponse = false
    private var requestWritten: ChannelFuture? = null
    private var requestBodyBytes = 0
    private var hasBody = false
    private var isAwaitingReset = false

    /** Number of exchanges that were started, this one included. */
    var exchanges: Int = 0
        private set

    /** Why the exchange or the connection failed; null if it did not. */
    var failure: ConnectionFailure? = null
        private set

    /** The server's idle timeout in milliseconds from its `Keep-Alive` header, or null if not stated. */
    var keepAliveMillis: Long? = null
        private set

    /** Is true if bytes that belong to no response were received. */
    val isOverrun: Boolean get() = failure == ConnectionFailure.MALFORMED || decoder.bufferedBytes > 0

    /** Is true if another exchange may be started. */
    val isReusable: Boolean
        get() = channel.isActive && exchange == null && failure == null && !closesAfterResponse &&
            !decoder.isHeadRequest && requestWritten?.isSuccess ?: true

    /** Installs the codec on [pipeline]. */
    fun install(pipeline: ChannelPipeline) {
        pipeline.addLast(HttpRequestEncoder(), IdleGuard(), decoder, Inbound())
    }

    /** Sends [request] and takes ownership of [body]; [receive] returns the response that [matcher] accepts. */
    fun send(request: HttpRequest, body: ByteBuf, matcher: ResponseMatcher) {
        check(exchange == null) { "an exchange is in progress on $channel" }
        exchange = UpstreamExchange(matcher)
        exchanges++
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        failure?.let { exchange?.fail(it) }
        requestBodyBytes = body.readableBytes()
        channel.write(request)
        requestWritten = channel.writeAndFlush(DefaultLastHttpContent(body))
    }

    /** Returns the next part of the response; the last one is [ResponsePart.End] or [ResponsePart.Failed]. */
    suspend fun receive(): ResponsePart = checkNotNull(exchange) { "no exchange is in progress on $channel" }.receive()

    /** Ends the exchange and returns whether the connection may be used for another one. */
    fun finish(): Boolean {
        val current = exchange
        if (current != null && current.isEnded) {
            if (isOverrun) spoil(StrayBytes.AFTER_RESPONSE)
            current.releaseRest()
            exchange = null
        }
        return isReusable
    }

    /** Resumes or pauses reading from the channel. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    /** Closes the connection and releases the parts that [receive] has not returned. */
    fun close() {
        exchange?.releaseRest()
        exchange = null
        channel.close()
    }

    /** Stands before the decoder, which keeps the bytes of an incomplete head to itself. */
    private inner class IdleGuard : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (exchange != null) {
                context.fireChannelRead(message)
            } else {
                ReferenceCountUtil.release(message)
                spoil(StrayBytes.WHILE_IDLE)
            }
        }
    }

    private inner class Inbound : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent) onContent(message)
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent && !isAwaitingReset) fail(ConnectionFailure.CLOSED)
        }

        override fun channelInactive(context: ChannelHandlerContext) = fail(ConnectionFailure.RESET)

        @Deprecated("inherited")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.unexpected(cause)
            fail(ConnectionFailure.RESET)
        }

        private fun onHead(response: HttpResponse) {
            val current = exchange
            when {
                current == null || current.isEnded -> spoil(StrayBytes.AFTER_RESPONSE)
                response.decoderResult().isFailure -> spoil(StrayBytes.NOT_HTTP)
                hasTwoHeads(response) -> spoil(StrayBytes.TWO_HEADS)
                failure == null && current.begin(response) -> {
                    hasBody = false
                    closesAfterResponse = !HttpUtil.isKeepAlive(response)
                    keepAliveMillis = response.headers().get("Keep-Alive")?.let(::keepAliveMillisOrNull)
                }
                decoder.skipsBodyOf(response) -> spoil(StrayBytes.BODY_NOT_DUE)
            }
        }

        private fun onContent(content: HttpContent) {
            val bytes = content.content()
            val current = exchange?.takeIf { failure == null }
            hasBody = hasBody || bytes.isReadable
            if (bytes.isReadable && current != null) current.deliver(ResponsePart.Data(bytes)) else bytes.release()
            if (content.decoderResult().isFailure) spoil(StrayBytes.NOT_HTTP)
            if (content is LastHttpContent && failure == null) onLastContent(current)
        }

        private fun onLastContent(current: UpstreamExchange?) {
            when {
                !channel.isActive -> fail(ConnectionFailure.RESET)
                !decoder.endsWithConnection -> current?.deliver(ResponsePart.End)
                !hasBody -> fail(ConnectionFailure.CLOSED)
                requestBodyBytes == 0 -> current?.deliver(ResponsePart.End)
                else -> awaitReset(current)
            }
        }

        /** Ends the response, whose connection was closed, unless the connection is reset as well. */
        private fun awaitReset(current: UpstreamExchange?) {
            isAwaitingReset = true
            val isWritten = requestWritten?.isSuccess ?: true
            val polls = resetPollsAfter(if (isWritten) requestBodyBytes.toLong() else Long.MAX_VALUE)
            pollReset(current, channel.resetWatchOrNull(), polls)
        }

        private fun pollReset(current: UpstreamExchange?, watch: ResetWatch?, polls: Int) {
            val isReset = failure == null && watch?.isReset() == true
            if (failure == null && !isReset && polls > 0) {
                val poll = { pollReset(current, watch, polls - 1) }
                channel.eventLoop().schedule(poll, RESET_POLL_MILLIS, TimeUnit.MILLISECONDS)
                return
            }
            watch?.close()
            if (failure == null && !isReset) current?.deliver(ResponsePart.End)
            fail(if (isReset) ConnectionFailure.RESET else ConnectionFailure.CLOSED)
        }
    }

    private fun spoil(bytes: StrayBytes, problem: SyntaxProblem? = null) {
        if (failure == null) log.stray(bytes, exchanges, problem)
        fail(ConnectionFailure.MALFORMED)
    }

    private fun fail(cause: ConnectionFailure) {
        if (failure != null) return
        failure = cause
        exchange?.fail(cause)
        channel.close()
    }
}

private fun keepAliveMillisOrNull(header: String): Long? =
    header.split(',')
        .firstNotNullOfOrNull { it.trim().removePrefix("timeout=").toDoubleOrNull() }
        ?.let { (it * MILLIS_PER_SECOND).toLong() }

private const val MILLIS_PER_SECOND: Double = 1_000.0
