/**
 * Decodes the responses on a connection to a server and checks that their bytes conform.
 *
 * The decoder of the library finds the ends of messages and accepts more than RFC 9112 allows. The bytes that it takes
 * for a head or for a body in chunks are checked as they were received; a problem is reported before their message is.
 */
package pistachiopass.gateway.http

import com.github.michaelbull.result.getOrElse
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import pistachiopass.http.BodyFraming
import pistachiopass.http.ChunkedBodySyntax
import pistachiopass.http.SyntaxProblem
import pistachiopass.http.framingOf
import java.io.ByteArrayOutputStream
import kotlin.text.Charsets.ISO_8859_1

/**
 * Decodes responses; [onMalformed] is called before anything of a response that is malformed is passed on.
 *
 * The response to a HEAD request, which [isOwn] accepts, has no body, whatever its headers say.
 */
internal class ResponseDecoder(
    private val isOwn: (HttpResponse) -> Boolean,
    private val onMalformed: (SyntaxProblem) -> Unit,
) : HttpResponseDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(RESPONSE_HEADER_BYTES_MAX)
        .setMaxHeaderSize(RESPONSE_HEADER_BYTES_MAX)
        .setMaxChunkSize(CHUNK_BYTES)
        .setStrictLineParsing(true),
) {
    var isHeadRequest: Boolean = false

    private val head = ByteArrayOutputStream()
    private var isInBody = false
    private var chunks: ChunkedBodySyntax? = null

    /** Is true if the body of the current response ends with the connection. */
    var endsWithConnection: Boolean = false
        private set

    /** Number of bytes received that complete no message yet. */
    val bufferedBytes: Int get() = actualReadableBytes() + head.size()

    /** Returns whether the body that [response] states would be decoded as another response. */
    fun skipsBodyOf(response: HttpResponse): Boolean =
        isContentAlwaysEmpty(response) && HttpUtil.getContentLength(response, 0L) > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        (isHeadRequest && message is HttpResponse && isOwn(message)) || super.isContentAlwaysEmpty(message)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        val start = buffer.readerIndex()
        val known = messages.size
        super.decode(context, buffer, messages)
        val bytes = buffer.slice(start, buffer.readerIndex() - start)
        val decoded = messages.subList(known, messages.size)
        if (isInBody) onBodyBytes(bytes) else onHeadBytes(bytes, decoded)
        if (decoded.lastOrNull() is LastHttpContent) onEnd()
    }

    private fun onHeadBytes(bytes: ByteBuf, decoded: List<Any>) {
        bytes.readBytes(head, bytes.readableBytes())
        val response = decoded.firstOrNull() as? HttpResponse ?: return
        val framing = framingOf(head.toString(ISO_8859_1)).getOrElse { problem ->
            onMalformed(problem)
            null
        }
        head.reset()
        isInBody = true
        chunks = if (framing?.body is BodyFraming.Chunks) ChunkedBodySyntax() else null
        endsWithConnection = framing?.body is BodyFraming.Connection && !isContentAlwaysEmpty(response)
    }

    private fun onBodyBytes(bytes: ByteBuf) {
        val syntax = chunks ?: return
        bytes.nioBuffers().forEach(syntax::accept)
        syntax.problem?.let(onMalformed)
    }

    private fun onEnd() {
        isInBody = false
        if (chunks?.isComplete == false && chunks?.problem == null) onMalformed(SyntaxProblem.CHUNK_END)
        chunks = null
    }
}

/** Limit for the status line and for the headers of a response; twice what deployments set for callers' headers. */
private const val RESPONSE_HEADER_BYTES_MAX: Int = 32 * 1024
private const val CHUNK_BYTES: Int = 64 * 1024
