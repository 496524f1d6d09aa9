/** The engine's own record of all requests it has seen, which proofs compare with what callers received. */
package pistachiopass.standins.engine

import kotlinx.serialization.Serializable

/** Describes one request as the engine saw it. */
@Serializable
internal data class RequestRecord(
    val id: String,
    val promptTokens: Int,
    val streamId: String? = null,
    val tokens: Int = 0,
    val outcome: String,
    val priority: Int = DEFAULT_PRIORITY,
)

/** Holds the whole record over all starts of an engine. */
@Serializable
internal data class RecordReport(
    val endpoint: String,
    val startIds: List<String>,
    val requests: List<RequestRecord>,
    val maxUsedTokens: Long,
    val maxColdTokens: Long,
    val maxColdRequests: Int,
    val fallOvers: Int,
)

/** Collects the record; not safe for concurrent use. */
internal class EngineRecord(private val endpoint: String) {
    private val refused: MutableList<RequestRecord> = mutableListOf()
    private val streams: MutableList<GenerationStream> = mutableListOf()
    private val startIds: MutableList<String> = mutableListOf()
    private var maxUsedTokens: Long = 0
    private var maxColdTokens: Long = 0
    private var maxColdRequests: Int = 0
    private var fallOvers: Int = 0

    /** Adds a request that was accepted. */
    fun accepted(stream: GenerationStream) {
        streams += stream
    }

    /** Adds a request that was refused. */
    fun refused(request: GenerationRequest) {
        refused += RequestRecord(request.requestId, request.prompt.promptTokens, outcome = "refused")
    }

    /** Adds a start of the engine. */
    fun started(startId: String) {
        startIds += startId
    }

    /** Counts a fall-over. */
    fun fellOver() {
        fallOvers++
    }

    /** Raises the highest load that was seen. */
    fun loaded(usedTokens: Long, coldTokens: Long, coldRequests: Int) {
        maxUsedTokens = maxOf(maxUsedTokens, usedTokens)
        maxColdTokens = maxOf(maxColdTokens, coldTokens)
        maxColdRequests = maxOf(maxColdRequests, coldRequests)
    }

    /** Returns the record so far. */
    fun report(): RecordReport = RecordReport(
        endpoint,
        startIds.toList(),
        streams.map { it.toRecord() } + refused,
        maxUsedTokens,
        maxColdTokens,
        maxColdRequests,
        fallOvers,
    )

    private fun GenerationStream.toRecord(): RequestRecord = RequestRecord(
        request.requestId,
        promptTokens,
        streamId,
        producedTokens,
        progress.value.end?.text ?: "running",
        request.priority,
    )
}
