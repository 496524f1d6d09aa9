/**
 * Plans of the steps of continuous batching.
 *
 * Each step advances every decoding stream by one token and spends the rest of its token budget on prefill chunks, the
 * most urgent and oldest request first. A step takes longer the more tokens it processes.
 */
package pistachiopass.standins.engine

/** Assigns a part of a step's budget to the prefill of one stream. */
internal class PrefillChunk(val stream: GenerationStream, val tokens: Int)

/** Holds what one step does and how long it takes. */
internal class StepPlan(
    val decodes: List<GenerationStream>,
    val prefills: List<PrefillChunk>,
    val durationMicros: Long,
)

/** Returns the plan of the next step over the streams that have a slot, or null when there is nothing to do. */
internal fun stepPlanOrNull(settings: EngineSettings, batch: List<GenerationStream>): StepPlan? {
    if (batch.isEmpty()) return null
    val decodes = batch.filter { it.state == StreamState.DECODE }
    val prefills = prefillChunksOf(batch, settings.stepTokens - decodes.size)
    return StepPlan(decodes, prefills, durationMicros(settings, decodes.size, prefills.sumOf { it.tokens }))
}

private fun prefillChunksOf(batch: List<GenerationStream>, budgetTokens: Int): List<PrefillChunk> {
    val chunks = mutableListOf<PrefillChunk>()
    var leftTokens = maxOf(budgetTokens, 1)
    for (stream in batch.filter { it.state == StreamState.PREFILL }.sortedWith(URGENCY)) {
        val tokens = minOf(leftTokens, stream.promptTokens - stream.prefilledTokens)
        if (leftTokens > 0) chunks += PrefillChunk(stream, tokens)
        leftTokens -= tokens
    }
    return chunks
}

private fun durationMicros(settings: EngineSettings, decodes: Int, prefillTokens: Int): Long {
    val decodeMicros = if (decodes > 0) MICROS_PER_SECOND / settings.decodeTokensPerSecond else 0
    return decodeMicros + prefillTokens * MICROS_PER_SECOND / settings.prefillTokensPerSecond
}

/** Orders streams by priority, and by arrival within a priority. */
internal val URGENCY: Comparator<GenerationStream> = compareBy({ it.request.priority }, { it.sequence })

private const val MICROS_PER_SECOND: Long = 1_000_000
