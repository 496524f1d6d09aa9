/**
 * One connection of a caller.
 *
 * Requests are read in full before they are served, one at a time; pipelined requests wait. A request with ambiguous
 * framing is refused and its connection closed. When the caller closes the connection, the request being served is
 * cancelled.
 */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import pistachiopass.gateway.model.CallerLimits

/** What all caller connections of one listener share. */
internal class CallerContext(
    val scope: CoroutineScope,
    val handler: CallerHandler,
    val limits: () -> CallerLimits,
    val connections: CallerConnections,
)

/** Reads requests from one channel and serves them in order. */
internal class CallerConnection(private val channel: Channel, private val context: CallerContext) :
    ChannelInboundHandlerAdapter() {
    private val pipelined = ArrayDeque<ConnectionExchange>()
    private var reading: ConnectionExchange? = null
    private var serving: Job? = null
    private var writable: CompletableDeferred<Unit>? = null
    private var isRefused = false
    private val headerLimitBytes = context.limits().headerBytes

    /** Monotonic time of the last read or write. */
    var lastActivityNanos: Long = System.nanoTime()
        private set

    /** Monotonic time at which the headers of the request being read arrived, or null if none is being read. */
    val readingSinceNanos: Long? get() = reading?.arrivedNanos

    /** Is true if no further requests are taken; the limit for headers is that of the time when it was opened. */
    private val isClosing: Boolean
        get() = context.connections.isClosing || context.limits().headerBytes != headerLimitBytes

    /** Is true while no request is being read or served. */
    val isIdle: Boolean get() = serving == null && reading == null && pipelined.isEmpty()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        lastActivityNanos = System.nanoTime()
        try {
            if (!isRefused) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) writable?.complete(Unit)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        this.context.connections.remove(this)
        serving?.cancel()
        reading?.body?.release()
        pipelined.forEach { it.body.release() }
        pipelined.clear()
        reading = null
    }

    @Deprecated("inherited")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Responds 408 to the request being read and closes the connection. */
    fun refuseTimedOut() {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT, "request time-out: the rest of the request did not arrive in time")
    }

    fun close() {
        channel.close()
    }

    private fun read(message: Any) {
        if (message is HttpRequest) {
            val problem = problemOrNull(message)
            if (problem != null) {
                refuse(problem.first, problem.second)
                return
            }
            reading = ConnectionExchange(message, Unpooled.compositeBuffer(BODY_COMPONENTS_MAX), System.nanoTime())
            if (HttpUtil.is100ContinueExpected(message)) channel.writeAndFlush(continueResponse())
        }
        if (message is HttpContent) readContent(message)
    }

    private fun readContent(content: HttpContent) {
        val current = reading ?: return
        val limitBytes = context.limits().bodyBytes
        when {
            content.decoderResult().isFailure -> refuse(HttpResponseStatus.BAD_REQUEST, "malformed request body")
            current.body.readableBytes().toLong() + content.content().readableBytes() > limitBytes ->
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body exceeds $limitBytes bytes")
            else -> {
                current.body.addComponent(true, content.content().retain())
                if (content is LastHttpContent) {
                    reading = null
                    pipelined.addLast(current)
                    if (pipelined.size > PIPELINED_REQUESTS_MAX) channel.config().isAutoRead = false
                    serveNext()
                }
            }
        }
    }

    private fun serveNext() {
        if (serving != null) return
        val next = pipelined.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        serving = context.scope.launch {
            try {
                context.handler.serve(next)
            } finally {
                next.body.release()
                serving = null
                if (!next.isFinished) channel.close()
                if (channel.isActive) serveNext()
            }
        }
    }

    /** Responds [reason], or 503 if the request exceeds a limit and it is uncertain which limits are in force. */
    private fun refuse(reason: HttpResponseStatus, text: String) {
        val isUncertain = reason in LIMIT_STATUSES && !context.limits().areConfirmed
        val status = if (isUncertain) HttpResponseStatus.SERVICE_UNAVAILABLE else reason
        isRefused = true
        reading?.body?.release()
        reading = null
        val body = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
        channel.writeAndFlush(DefaultLastHttpContent(body))
            .addListener(ChannelFutureListener.CLOSE)
    }

    private inner class ConnectionExchange(
        override val request: HttpRequest,
        override val body: CompositeByteBuf,
        override val arrivedNanos: Long,
    ) : CallerExchange {
        private val keepsAlive = HttpUtil.isKeepAlive(request)
        private var isStarted = false

        var isFinished: Boolean = false
            private set

        override val isWritable: Boolean get() = channel.isWritable

        override fun respond(status: Int, headers: HttpHeaders, body: ByteBuf) {
            check(!isFinished && !isStarted) { "a response was already started or sent" }
            isFinished = true
            val isHead = request.method().name() == "HEAD"
            if (!isHead && status != HttpResponseStatus.NO_CONTENT.code()) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            }
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
            writeHead(status, headers)
            finish(if (isHead) Unpooled.EMPTY_BUFFER.also { body.release() } else body)
        }

        override fun begin(status: Int, headers: HttpHeaders) {
            check(!isFinished && !isStarted) { "a response was already started or sent" }
            isStarted = true
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            writeHead(status, headers)
            channel.flush()
        }

        override suspend fun write(bytes: ByteBuf) {
            lastActivityNanos = System.nanoTime()
            channel.writeAndFlush(DefaultHttpContent(bytes))
            while (!channel.isWritable && channel.isActive) {
                val gate = CompletableDeferred<Unit>()
                writable = gate
                gate.await()
            }
        }

        override fun end() {
            isFinished = true
            finish(Unpooled.EMPTY_BUFFER)
        }

        override fun abort() {
            isFinished = true
            channel.close()
        }

        private fun writeHead(status: Int, headers: HttpHeaders) {
            if (!keepsAlive || isClosing) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
            channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
        }

        private fun finish(body: ByteBuf) {
            lastActivityNanos = System.nanoTime()
            val written = channel.writeAndFlush(DefaultLastHttpContent(body))
            if (!keepsAlive || isClosing) written.addListener(ChannelFutureListener.CLOSE)
        }
    }
}

private fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

/** Returns the status and message with which [request] is refused whatever its route, or null if it is valid. */
private fun problemOrNull(request: HttpRequest): Pair<HttpResponseStatus, String>? {
    val failure = request.decoderResult().cause()
    val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    return when {
        failure is TooLongHttpHeaderException || failure is TooLongHttpLineException ->
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE to "request line or headers too long"
        failure != null -> HttpResponseStatus.BAD_REQUEST to "malformed request line or headers"
        request.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
            HttpResponseStatus.BAD_REQUEST to "Host: expected exactly one header"
        codings.isNotEmpty() && (codings.size > 1 || !codings[0].equals("chunked", ignoreCase = true)) ->
            HttpResponseStatus.BAD_REQUEST to "Transfer-Encoding: expected only chunked"
        codings.isNotEmpty() && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ->
            HttpResponseStatus.BAD_REQUEST to "Content-Length: not allowed together with Transfer-Encoding"
        request.uri().any { it <= ' ' || it > '~' } || !request.uri().startsWith('/') ->
            HttpResponseStatus.BAD_REQUEST to "request target: expected a path of printable ASCII characters"
        else -> null
    }
}

/** Statuses for requests that exceed a limit. */
private val LIMIT_STATUSES =
    setOf(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

/** Number of pipelined requests above which the connection is not read further. */
private const val PIPELINED_REQUESTS_MAX: Int = 4
private const val BODY_COMPONENTS_MAX: Int = 1024
