/** Callers of the fleet, which record all that they send and receive. */
package pistachiopass.proof.harness

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import pistachiopass.model.Instance
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.model.RequestId
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.Verdict
import pistachiopass.model.WORKSPACE_HEADER
import pistachiopass.proof.history.BodyHash
import pistachiopass.proof.history.ConnectionBroken
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.PromptLength
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestAnswered
import pistachiopass.proof.history.RequestContent
import pistachiopass.proof.history.RequestRefused
import pistachiopass.proof.history.RequestSent
import java.security.MessageDigest
import java.util.HexFormat

/** A model request of [promptTokens] and exactly [answerTokens]. */
public data class ModelRequest(
    val id: RequestId,
    val promptTokens: Int,
    val answerTokens: Int,
    val workspace: String = "w",
)

/** Sends requests to instances; [close] ends all connections. */
public class Callers(private val recorder: Recorder) : AutoCloseable {
    private val client: HttpClient = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            endpoint { connectAttempts = 1 }
        }
    }

    /** Sends [request] to [instance] and returns how it ended, or null if it did not end long after its deadline. */
    public suspend fun ask(request: ModelRequest, instance: Instance): HistoryEvent? =
        send(postOf(request, instance), MODEL_TIMEOUT_MILLIS) {
            val channel = it.bodyAsChannel()
            TokenReader(request, recorder).read { channel.readLine() }
        }

    /** Sends one attempt at the booking [booking] with [key] and returns how it ended, as [ask] does. */
    public suspend fun book(id: RequestId, booking: String, key: String?, instance: Instance): HistoryEvent? {
        val post =
            Post(id, instance, "/pickups", bookingBody(booking), key = key, content = BodyHash(bookingHash(booking)))
        return send(post, BOOKING_TIMEOUT_MILLIS) { response ->
            val run = CONTROL_JSON.decodeFromString<PlainResponse>(response.bodyAsText()).run
            val answered = if (run.bodyHash == bookingHash(booking)) id else RequestId(run.requestId ?: "none")
            recorder.recorded { RequestAnswered(it, id, answeredRequest = answered) }
        }
    }

    override fun close(): Unit = client.close()

    private suspend fun send(
        post: Post,
        limitMillis: Long,
        onAnswer: suspend (HttpResponse) -> HistoryEvent,
    ): HistoryEvent? {
        recorder.record { RequestSent(it, post.id, post.instance.id, it + limitMillis, post.content) }
        return withTimeoutOrNull(limitMillis + GIVE_UP_MILLIS) {
            try {
                client.preparePost("http://${post.instance.httpAddress}${post.path}") {
                    header(REQUEST_ID_HEADER, post.id.value)
                    header(WORKSPACE_HEADER, post.workspace)
                    post.key?.let { header(IDEMPOTENCY_KEY_HEADER, it) }
                    contentType(ContentType.Application.Json)
                    setBody(post.body)
                }.execute { if (it.status.isSuccess()) onAnswer(it) else refused(post.id, it) }
            } catch (_: IOException) {
                recorder.recorded { ConnectionBroken(it, post.id) }
            }
        }
    }

    private suspend fun refused(id: RequestId, response: HttpResponse): HistoryEvent {
        val code = errorOrNull(response.bodyAsText())
        val verdict = verdictOrNull(response.headers[VERDICT_HEADER])
        return recorder.recorded { RequestRefused(it, id, verdict, code?.code.orEmpty(), code?.idempotencyKey) }
    }
}

/** One HTTP request of a caller. */
private data class Post(
    val id: RequestId,
    val instance: Instance,
    val path: String,
    val body: String,
    val workspace: String = "w",
    val key: String? = null,
    val content: RequestContent? = null,
)

private fun postOf(request: ModelRequest, instance: Instance): Post {
    val length = PromptLength(request.promptTokens)
    return Post(request.id, instance, CHAT_PATH, body(request), request.workspace, content = length)
}

/** Returns the value that identifies a booking in the record of a plain service. */
public fun bookingHash(booking: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bookingBody(booking).encodeToByteArray()))

/** Records an event and returns it. */
internal fun Recorder.recorded(eventAt: (Long) -> HistoryEvent): HistoryEvent {
    lateinit var event: HistoryEvent
    record { atMillis -> eventAt(atMillis).also { event = it } }
    return event
}

internal fun verdictOrNull(text: String?): Verdict? = Verdict.entries.firstOrNull { it.text == text }

internal fun errorOrNull(text: String): ErrorDetail? =
    try {
        CONTROL_JSON.decodeFromString<ErrorBody>(text).error
    } catch (_: SerializationException) {
        null
    }

@Serializable
internal data class ErrorBody(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(val code: String = "", val verdict: String = "", val idempotencyKey: String? = null)

@Serializable
private data class PlainResponse(val run: PlainRun)

@Serializable
private data class PlainRun(val requestId: String? = null, val bodyHash: String)

private fun bookingBody(booking: String): String = """{"booking":"$booking"}"""

private fun body(request: ModelRequest): String = buildJsonObject {
    put("model", MODEL)
    put("stream", true)
    put("max_tokens", request.answerTokens)
    putJsonArray("messages") {
        addJsonObject {
            put("role", "user")
            put("content", request.workspace.repeat(request.promptTokens * CHARACTERS_PER_TOKEN))
        }
    }
}.toString()

private const val CHAT_PATH: String = "/v1/chat/completions"
private const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"
private const val CHARACTERS_PER_TOKEN: Int = 4
private const val GIVE_UP_MILLIS: Long = 4_000
