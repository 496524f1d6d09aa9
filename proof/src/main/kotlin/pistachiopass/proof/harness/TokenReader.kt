/** Reading of a streamed answer token by token, by the text of each token, which names stream and offset. */
package pistachiopass.proof.harness

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.proof.history.ChunkReceived
import pistachiopass.proof.history.ConnectionBroken
import pistachiopass.proof.history.HistoryEvent
import pistachiopass.proof.history.Recorder
import pistachiopass.proof.history.RequestAnswered
import pistachiopass.proof.history.RequestRefused

/** Reads the answer to [request]. */
internal class TokenReader(private val request: ModelRequest, private val recorder: Recorder) {
    private var isError = false

    /** Takes lines until the end of the answer and returns how it ended. */
    suspend fun read(nextLineOrNull: suspend () -> String?): HistoryEvent {
        while (true) {
            val line = nextLineOrNull() ?: return recorder.recorded { ConnectionBroken(it, request.id) }
            take(line)?.let { return it }
        }
    }

    private fun take(line: String): HistoryEvent? {
        if (line.startsWith(EVENT_FIELD)) isError = line.removePrefix(EVENT_FIELD).trim() == "error"
        if (!line.startsWith(DATA_FIELD)) return null
        val data = line.removePrefix(DATA_FIELD).trim()
        return when {
            isError -> error(data)
            data == "[DONE]" -> recorder.recorded {
                RequestAnswered(it, request.id, tokens = request.answerTokens.toLong())
            }
            else -> {
                takeChunk(CONTROL_JSON.decodeFromString(data))
                null
            }
        }
    }

    private fun takeChunk(chunk: Chunk) {
        val text = chunk.choices.firstOrNull()?.delta?.content?.trim() ?: return
        val offset = text.substringAfterLast('-').toLong()
        recorder.record { ChunkReceived(it, request.id, text.substringBeforeLast('-'), offset) }
    }

    private fun error(data: String): HistoryEvent {
        val error = errorOrNull(data)
        return recorder.recorded {
            RequestRefused(it, request.id, verdictOrNull(error?.verdict), error?.code.orEmpty())
        }
    }
}

@Serializable
private data class Chunk(val choices: List<Choice> = emptyList())

@Serializable
private data class Choice(val delta: Delta = Delta(), @SerialName("finish_reason") val finishReason: String? = null)

@Serializable
private data class Delta(val content: String? = null)

private const val EVENT_FIELD: String = "event:"
private const val DATA_FIELD: String = "data:"
