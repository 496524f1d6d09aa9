/** Reads the body of each request within the memory limits and extracts the metadata that routing needs. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.ktor.http.HttpHeaders
import pistachiopass.entry.body.BodyReader
import pistachiopass.entry.body.RequestBody
import pistachiopass.entry.body.readChatRequest
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Exchange
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.model.Failure
import pistachiopass.routing.RequestMetadata

/** Reads request bodies with [reader] and keeps each in memory until its request has ended. */
public class BodyFilter(private val reader: BodyReader) : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> {
        val exchange = context.exchange
        val declaredBytes = exchange.head.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        return reader.read(exchange.body, declaredBytes).andThen { body ->
            body.use { handleWith(context, body, next) }
        }
    }

    private suspend fun handleWith(
        context: RequestContext,
        body: RequestBody,
        next: Handler,
    ): Result<Completion, Failure> =
        metadataOf(context.exchange, body).andThen { metadata ->
            next.handle(context.copy(body = body, metadata = metadata))
        }

    private fun metadataOf(exchange: Exchange, body: RequestBody): Result<RequestMetadata, Failure> {
        val plain = RequestMetadata(exchange.head.path, exchange.workspace)
        if (!exchange.head.path.startsWith(CHAT_COMPLETIONS_PATH)) return Ok(plain)
        return readChatRequest(body.bytes).map { chat ->
            plain.copy(
                model = chat.model,
                promptTokens = chat.promptTokens,
                answerTokens = chat.answerTokens,
                prefixDigest = chat.prefixDigest,
                streamed = chat.stream,
            )
        }
    }
}

/** Path prefix of chat completion requests. */
public const val CHAT_COMPLETIONS_PATH: String = "/v1/chat/completions"
