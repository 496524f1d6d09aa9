/**
 * Streaming parser of chat completion requests.
 *
 * It extracts only what routing and placement need: the model, the limits, and the length and digest of the prompt.
 */
package pistachiopass.entry.body

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParseException
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.codec.digest.MurmurHash3
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.ModelName
import pistachiopass.model.Verdict

/** Metadata of a chat completion request. */
public data class ChatRequest(
    val model: ModelName,
    val promptTokens: Long,
    val answerTokens: Long,
    val stream: Boolean,
    val prefixDigest: String,
)

/** Parses the request, or returns a failure that names the invalid field and its position. */
public fun readChatRequest(body: ByteArray): Result<ChatRequest, Failure> =
    try {
        jsonFactory.createParser(body).use { ChatRequestReader(it).read() }
    } catch (exception: JsonParseException) {
        val place = exception.location
        val where = "line ${place?.lineNr}, column ${place?.columnNr}"
        Err(badRequest("body is not valid JSON at $where"))
    }

private class ChatRequestReader(private val parser: JsonParser) {
    private var model: String? = null
    private var maxTokens: Long = DEFAULT_ANSWER_TOKENS
    private var stream: Boolean = false
    private var promptChars: Long = 0
    private var problem: String? = null
    private val prefix: StringBuilder = StringBuilder()

    fun read(): Result<ChatRequest, Failure> {
        if (parser.nextToken() != JsonToken.START_OBJECT) return Err(badRequest("body must be a JSON object"))
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val field = parser.currentName()
            parser.nextToken()
            readField(field)
        }
        val problem = problem
        val model = model
        return when {
            problem != null -> Err(badRequest(problem))
            model == null -> Err(badRequest("model: missing, expected a string"))
            promptChars == 0L -> Err(badRequest("messages: no content, expected at least one message with content"))
            else -> Ok(request(ModelName(model)))
        }
    }

    private fun request(model: ModelName): ChatRequest = ChatRequest(
        model = model,
        promptTokens = (promptChars + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
        answerTokens = maxTokens,
        stream = stream,
        prefixDigest = MurmurHash3.hash128x64(prefix.toString().encodeToByteArray()).first().toULong().toString(HEX),
    )

    private fun readField(field: String) {
        val token = parser.currentToken()
        when (field) {
            "model" -> if (expect(field, token == JsonToken.VALUE_STRING, "a string")) model = parser.text
            "max_tokens" -> readMaxTokens(token)
            "stream" -> if (expect(field, token?.isBoolean == true, "true or false")) stream = parser.booleanValue
            "messages" -> if (expect(field, token == JsonToken.START_ARRAY, "an array")) readMessages()
            else -> parser.skipChildren()
        }
    }

    private fun readMaxTokens(token: JsonToken?) {
        val whole = token == JsonToken.VALUE_NUMBER_INT
        if (!expect("max_tokens", whole, "a whole number")) return
        val tokens = parser.longValue
        if (expect("max_tokens", tokens in 1..MAX_ANSWER_TOKENS, "1 to $MAX_ANSWER_TOKENS")) maxTokens = tokens
    }

    /** Reads to the end of the array and adds up the lengths of all strings in fields named `content` or `text`. */
    private fun readMessages() {
        var depth = 1
        var name: String? = null
        while (depth > 0) {
            when (parser.nextToken()) {
                JsonToken.START_ARRAY, JsonToken.START_OBJECT -> depth++
                JsonToken.END_ARRAY, JsonToken.END_OBJECT -> depth--
                JsonToken.FIELD_NAME -> name = parser.currentName()
                JsonToken.VALUE_STRING -> if (name == "content" || name == "text") countText()
                null -> return
                else -> Unit
            }
        }
    }

    private fun countText() {
        val length = parser.textLength
        promptChars += length
        val missing = (PREFIX_CHARS - prefix.length).coerceIn(0, length)
        if (missing > 0) prefix.append(parser.textCharacters, parser.textOffset, missing)
    }

    private fun expect(field: String, holds: Boolean, expected: String): Boolean {
        if (!holds) {
            val place = parser.currentLocation()
            problem = problem ?: "$field: expected $expected, at line ${place.lineNr}, column ${place.columnNr}"
            parser.skipChildren()
        }
        return holds
    }
}

private fun badRequest(message: String): Failure = Failure(FailureCode.BAD_REQUEST, Verdict.NOT_RUN, message)

private val jsonFactory: JsonFactory = JsonFactory()

private const val CHARACTERS_PER_TOKEN: Long = 4
private const val PREFIX_CHARS: Int = 2_048
private const val DEFAULT_ANSWER_TOKENS: Long = 1_024
private const val MAX_ANSWER_TOKENS: Long = 1_000_000
private const val HEX: Int = 16
