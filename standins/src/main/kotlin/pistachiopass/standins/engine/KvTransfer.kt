/**
 * Export and import of a request's KV cache.
 *
 * An imported request goes on where the export left it: its stream keeps the id, its prompt is not prefilled again, and
 * readers resume it by `/v1/streams/{streamId}`. The exporting engine goes on too until the request is cancelled there.
 */
package pistachiopass.standins.engine

import kotlinx.serialization.Serializable

/** Holds the state of a request in place of its KV cache. */
@Serializable
internal data class KvCache(
    val requestId: String,
    val streamId: String,
    val model: String,
    val promptTokens: Int,
    val blocks: List<Long>,
    val prefilledTokens: Int,
    val producedTokens: Int,
    val maxTokens: Int,
    val finishReason: String,
    val priority: Int,
)

/** Answers an import: the stream goes on in this start. */
@Serializable
internal data class KvImported(val streamId: String, val startId: String)

/** Says what became of an import. */
internal enum class ImportOutcome {
    IMPORTED,
    UNKNOWN_MODEL,
    ALREADY_HELD,
    FINISHED,
}

/** Returns the KV cache of a request that is not finished. */
internal fun GenerationStream.toKvCache(): KvCache = KvCache(
    request.requestId,
    streamId,
    request.model,
    promptTokens,
    request.prompt.hashes.toList(),
    prefilledTokens,
    producedTokens,
    request.maxTokens,
    request.finishReason,
    request.priority,
)

/** Takes over a request whose KV cache another engine has exported. */
internal fun EngineCore.importKv(cache: KvCache, nowMillis: Long): ImportOutcome {
    val refusal = importRefusalOrNull(cache)
    if (refusal == null) accept(cache.toStream(startId, nowMillis), nowMillis)
    return refusal ?: ImportOutcome.IMPORTED
}

private fun EngineCore.importRefusalOrNull(cache: KvCache): ImportOutcome? = when {
    cache.model !in loaded.models -> ImportOutcome.UNKNOWN_MODEL
    streams.streamOrNull(cache.streamId) != null -> ImportOutcome.ALREADY_HELD
    cache.producedTokens >= cache.maxTokens -> ImportOutcome.FINISHED
    else -> null
}

private fun KvCache.toStream(startId: String, nowMillis: Long): GenerationStream {
    val prompt = PromptBlocks(promptTokens, blocks.toLongArray())
    val request = GenerationRequest(requestId, model, prompt, maxTokens, finishReason, priority)
    val stream = GenerationStream(streamId, startId, request, sequence = 0, nowMillis)
    stream.prefilledTokens = prefilledTokens
    stream.resumeAt(producedTokens)
    return stream
}
