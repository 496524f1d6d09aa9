/** Bodies of the chat completion calls. */
package pistachiopass.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Asks for a completion. */
@Serializable
internal data class ChatCompletionCall(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val stream: Boolean = false,
    val priority: Int = DEFAULT_PRIORITY,
)

/** Holds one message of a conversation. */
@Serializable
internal data class ChatMessage(val role: String, val content: String? = null)

/** Holds one event of a streamed answer. */
@Serializable
internal data class ChatCompletionChunk(
    val id: String,
    @SerialName("object") val kind: String,
    val model: String,
    val choices: List<ChunkChoice>,
)

/** Holds the only choice of a chunk. */
@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** Holds the text of one token, or nothing in the last chunk. */
@Serializable
internal data class ChunkDelta(val content: String? = null)

/** Holds an answer that is not streamed. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: Usage,
)

/** Holds the only choice of an answer that is not streamed. */
@Serializable
internal data class CompletionChoice(
    val index: Int,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** Counts the tokens of a request. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)

/** Explains a refusal. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

/** Names the cause of a refusal. */
@Serializable
internal data class ErrorDetail(val code: String, val message: String)

/** Reads and writes the bodies of the engine's protocol. */
internal val ENGINE_JSON: Json = Json { ignoreUnknownKeys = true }

/** Returns the generation that a call asks for under [requestId] with [priority]. */
internal fun ChatCompletionCall.toGeneration(requestId: String, priority: Int): GenerationRequest = GenerationRequest(
    requestId,
    model,
    promptBlocksOf(messages.mapNotNull { it.content }),
    maxOf(1, maxTokens ?: DEFAULT_ANSWER_TOKENS),
    if (maxTokens == null) "stop" else "length",
    priority,
)

/** Returns the chunk at [offset]; the offset after the last token makes the last chunk. */
internal fun GenerationStream.chunkAt(offset: Int): ChatCompletionChunk {
    val isLast = offset == request.maxTokens
    val delta = ChunkDelta(if (isLast) null else tokenText(streamId, offset))
    val choice = ChunkChoice(0, delta, if (isLast) request.finishReason else null)
    return ChatCompletionChunk(streamId, "chat.completion.chunk", request.model, listOf(choice))
}

/** Returns the whole answer of a finished stream. */
internal fun GenerationStream.toCompletion(): ChatCompletion {
    val text = (0 until producedTokens).joinToString("") { tokenText(streamId, it) }
    val choice = CompletionChoice(0, ChatMessage("assistant", text), request.finishReason)
    val usage = Usage(promptTokens, producedTokens, promptTokens + producedTokens)
    return ChatCompletion(streamId, "chat.completion", request.model, listOf(choice), usage)
}
