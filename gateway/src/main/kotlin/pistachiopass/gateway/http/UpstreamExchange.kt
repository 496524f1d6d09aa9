/** A request that was sent on a connection and the response to it, part by part. */
package pistachiopass.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.channels.Channel

/** Why an exchange failed. */
internal enum class ConnectionFailure { CLOSED, RESET, MALFORMED }

/** One part of a response. */
internal sealed interface ResponsePart {
    class Head(val response: HttpResponse) : ResponsePart

    /** Bytes of the body; the receiver releases them. */
    class Data(val bytes: ByteBuf) : ResponsePart

    data object End : ResponsePart

    class Failed(val failure: ConnectionFailure) : ResponsePart
}

/** Tells the response to a request from others on the same connection, such as late ones to earlier requests. */
internal fun interface ResponseMatcher {
    /** Returns whether [response] belongs to the request; may be called more than once for a response. */
    fun isOwn(response: HttpResponse): Boolean

    /** Is called once for each [response] that does not belong to the request. */
    fun onSkipped(response: HttpResponse): Unit = Unit
}

/** An exchange whose response is the one that [matcher] accepts; others before it are skipped. */
internal class UpstreamExchange(private val matcher: ResponseMatcher) {
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var isSkipping = false

    /** Whether the response was delivered in full. */
    var isEnded: Boolean = false
        private set

    /** Returns the next part of the response. */
    suspend fun receive(): ResponsePart = parts.receive()

    /** Delivers [response] if it is the one to this request and not an interim one; returns whether it is. */
    fun begin(response: HttpResponse): Boolean {
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        isSkipping = isInterim || !isOwn(response)
        if (!isSkipping) parts.trySend(ResponsePart.Head(response)) else if (!isInterim) matcher.onSkipped(response)
        return !isSkipping
    }

    /** Returns whether [response] is the one to this request. */
    fun isOwn(response: HttpResponse): Boolean = matcher.isOwn(response)

    /** Delivers the next [part] of the response that was begun last, unless that is skipped. */
    fun deliver(part: ResponsePart) {
        if (isSkipping || isEnded) {
            release(part)
        } else {
            isEnded = part is ResponsePart.End
            parts.trySend(part)
        }
    }

    /** Delivers the end of a response that broke off or did not come. */
    fun fail(failure: ConnectionFailure) {
        parts.trySend(ResponsePart.Failed(failure))
    }

    /** Releases the parts that [receive] has not returned. */
    fun releaseRest() {
        while (true) release(parts.tryReceive().getOrNull() ?: break)
    }

    private fun release(part: ResponsePart) {
        if (part is ResponsePart.Data) part.bytes.release()
    }
}
