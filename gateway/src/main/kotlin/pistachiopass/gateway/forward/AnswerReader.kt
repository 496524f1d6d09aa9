/** Reads the answer that belongs to a request from a connection on which other bytes may come as well. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.gateway.WireFormat
import pistachiopass.gateway.http.ResponsePart
import pistachiopass.gateway.http.UpstreamConnection
import pistachiopass.gateway.model.ResponseMetadata
import pistachiopass.model.RequestId

/** The head of an answer and what it proves. */
internal class AnswerHead(val response: HttpResponse, val metadata: ResponseMetadata) {
    val status: Int get() = response.status().code()
    val isSuccess: Boolean get() = response.status().codeClass() == HttpStatusClass.SUCCESS
}

/** Reads answers to the request [id] from [connection]. */
internal class AnswerReader(
    private val connection: UpstreamConnection,
    private val wire: WireFormat,
    private val id: RequestId,
) {
    /** Returns the head of the answer, past answers to other requests; null if it breaks or is silent for so long. */
    suspend fun headOrNull(silenceMillis: Long?): AnswerHead? {
        while (true) {
            val part = if (silenceMillis == null) {
                connection.receive()
            } else {
                withTimeoutOrNull(silenceMillis) { connection.receive() }
            }
            when (part) {
                null, is ResponsePart.Failed -> return null
                is ResponsePart.Head -> ownHeadOrNull(part.response)?.let { return it }
                is ResponsePart.Data -> part.bytes.release()
                is ResponsePart.End -> Unit
            }
        }
    }

    /** Appends the rest of the answer to [body]; returns false if it breaks off or exceeds [maxBytes]. */
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

    /** An answer that names no request is taken for the own one unless it is a success. */
    private fun ownHeadOrNull(response: HttpResponse): AnswerHead? {
        val head = AnswerHead(response, wire.readResponse(response.status().code(), response.headers()))
        val named = head.metadata.requestId
        val isOwn = if (named == null) !head.isSuccess else named == id
        return head.takeIf { isOwn }
    }
}
