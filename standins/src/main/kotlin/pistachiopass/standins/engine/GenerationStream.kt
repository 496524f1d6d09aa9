/** One request on the stand-in engine: what it asks for, how far it is and what its readers see. */
package pistachiopass.standins.engine

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow

/** Describes what a completion call asks for. */
internal class GenerationRequest(
    val requestId: String,
    val model: String,
    val prompt: PromptBlocks,
    val maxTokens: Int = DEFAULT_ANSWER_TOKENS,
    val finishReason: String = "length",
    val priority: Int = DEFAULT_PRIORITY,
)

/** Says where a request is in its life. */
internal enum class StreamState(val text: String) {
    QUEUED("queued"),
    PREFILL("prefill"),
    DECODE("decode"),
    KEPT("kept"),
}

/** Says how a stream ended. */
internal enum class StreamEnd(val text: String) {
    FINISHED("finished"),
    CANCELLED("cancelled"),
    LOST("lost"),
}

/** Shows readers how many tokens exist and whether more will come. */
internal data class StreamProgress(val producedTokens: Int, val end: StreamEnd? = null)

/** Holds the state of one request; changed by the core alone, read by any number of readers. */
internal class GenerationStream(
    val streamId: String,
    val startId: String,
    val request: GenerationRequest,
    val sequence: Long,
    val arrivedMillis: Long,
) {
    private val mutableProgress: MutableStateFlow<StreamProgress> = MutableStateFlow(StreamProgress(0))

    /** Shows how far the stream is; safe to read from any thread. */
    val progress: StateFlow<StreamProgress> = mutableProgress.asStateFlow()

    var state: StreamState = StreamState.QUEUED
    var prefilledTokens: Int = 0
    var keptUntilMillis: Long = Long.MAX_VALUE

    val promptTokens: Int get() = request.prompt.promptTokens
    val producedTokens: Int get() = progress.value.producedTokens

    /** KV memory that the request holds: prompt and answer so far. */
    val heldTokens: Long get() = promptTokens.toLong() + producedTokens

    /** Shows one more token to readers. */
    fun produce() {
        mutableProgress.value = StreamProgress(producedTokens + 1)
    }

    /** Sets the number of tokens that another engine produced before. */
    fun resumeAt(tokens: Int) {
        mutableProgress.value = StreamProgress(tokens)
    }

    /** Tells readers that no more tokens will come. */
    fun end(end: StreamEnd) {
        mutableProgress.value = StreamProgress(producedTokens, end)
    }
}

/** Returns the text of the token at [offset] of a stream. */
internal fun tokenText(streamId: String, offset: Int): String = "$streamId-$offset "

/** Answer length of a request that states none. */
internal const val DEFAULT_ANSWER_TOKENS: Int = 128

/** Priority of a request that states none. */
internal const val DEFAULT_PRIORITY: Int = 5
