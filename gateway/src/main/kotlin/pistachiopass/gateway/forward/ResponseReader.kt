/** Reads the response to a request from a connection that may also deliver responses to other requests. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.ResponseMatcher
import pistachiopass.gateway.http.ResponsePart
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.http.beginsWithStatusLine
import pistachiopass.gateway.http.mayBeginStatusLine
import pistachiopass.gateway.model.ResponseMetadata
import pistachiopass.model.RequestId

/** Status line and headers of a response, with what they state. */
internal class ResponseHead(val response: HttpResponse, val metadata: ResponseMetadata) {
    val status: Int get() = response.status().code()
    val isSuccess: Boolean get() = response.status().codeClass() == HttpStatusClass.SUCCESS
    val isEventStream: Boolean
        get() = isSuccess && hasType(EVENT_STREAM)

    private val isError: Boolean get() = status >= FIRST_ERROR_STATUS

    /** Whether the endpoint states that it has not run the request and never will. */
    val isRefusal: Boolean get() = metadata.isNotExecuted && isError

    /** Whether the response states both that the request was not run and that it did not fail. */
    val contradictsItself: Boolean get() = metadata.isNotExecuted && !isError

    /** Whether the status promises callers that the request was not run, while the endpoint does not state that. */
    val isUnconfirmedRefusal: Boolean get() = !metadata.isNotExecuted && status in NOT_RUN_STATUSES

    /**
     * Returns whether [body] is another response, or its beginning, which was written in the place of the body.
     *
     * A body that is too short to tell is one only if it [isOverrun], that is, if other bytes follow it.
     */
    fun isReplaced(body: ByteBuf, isOverrun: Boolean): Boolean =
        (beginsWithStatusLine(body) || (isOverrun && mayBeginStatusLine(body))) && MESSAGE_TYPES.none(::hasType)

    private fun hasType(type: String): Boolean =
        response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(type, ignoreCase = true)
}

/** Reads the response to the request [id] from [connection]; [onSkipped] is called for each head that is skipped. */
internal class ResponseReader(
    private val connection: UpstreamConnection,
    private val wire: WireFormat,
    private val id: RequestId,
    private val onSkipped: (ResponseHead) -> Unit,
) : ResponseMatcher {
    /** A response that names no request may be a late one to an earlier request on the connection. */
    override fun isOwn(response: HttpResponse): Boolean = headOf(response).metadata.requestId == id

    override fun onSkipped(response: HttpResponse): Unit = onSkipped(headOf(response))

    /**
     * Returns the head of the response, or null if the connection breaks or [remainingMillis] reaches 0 before one
     * comes; without [remainingMillis] it waits as long as the connection lasts.
     */
    suspend fun headOrNull(remainingMillis: (() -> Long)?): ResponseHead? {
        val part = if (remainingMillis == null) connection.receive() else receiveOrNull(remainingMillis)
        return (part as? ResponsePart.Head)?.let { headOf(it.response) }
    }

    /** The wait is extended without a second call to receive, since a cancelled one may lose the part. */
    private suspend fun receiveOrNull(remainingMillis: () -> Long): ResponsePart? = coroutineScope {
        val part = async(start = CoroutineStart.UNDISPATCHED) { connection.receive() }
        var waitMillis = remainingMillis()
        while (waitMillis > 0 && withTimeoutOrNull(waitMillis) { part.join() } == null) waitMillis = remainingMillis()
        if (part.isCompleted) part.await() else null.also { part.cancel() }
    }

    /** Appends the rest of the response to [body]; returns false if it is truncated or longer than [maxBytes]. */
    suspend fun readBody(body: ByteBuf, maxBytes: Int): Boolean {
        var part = connection.receive()
        while (part is ResponsePart.Data && body.readableBytes() <= maxBytes) {
            body.writeBytes(part.bytes)
            part.bytes.release()
            part = connection.receive()
        }
        if (part is ResponsePart.Data) part.bytes.release()
        return part is ResponsePart.End
    }

    /** Reads the rest of the response, up to [maxBytes], so that the connection can be used again if it ends soon. */
    suspend fun discardBody(maxBytes: Int) {
        val rest = Unpooled.buffer()
        try {
            withTimeoutOrNull(DISCARD_TIMEOUT_MILLIS) { readBody(rest, maxBytes) }
        } finally {
            rest.release()
        }
    }

    private fun headOf(response: HttpResponse): ResponseHead =
        ResponseHead(response, wire.readResponse(response.status().code(), response.headers()))
}

private const val DISCARD_TIMEOUT_MILLIS = 100L
private const val FIRST_ERROR_STATUS = 400

/** Statuses that callers take as a promise that the request has not run and never will. */
private val NOT_RUN_STATUSES = setOf(
    HttpResponseStatus.REQUEST_TIMEOUT,
    HttpResponseStatus.MISDIRECTED_REQUEST,
    HttpResponseStatus.TOO_MANY_REQUESTS,
    HttpResponseStatus.SERVICE_UNAVAILABLE,
).map { it.code() }

private const val EVENT_STREAM = "text/event-stream"

/** Media types of bodies that are HTTP messages themselves. */
private val MESSAGE_TYPES = listOf("message/http", "application/http")
