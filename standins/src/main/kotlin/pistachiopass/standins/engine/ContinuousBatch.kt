/** Continuous batching: moves queued streams into free slots and advances those that have one. */
package pistachiopass.standins.engine

/** Advances the streams of [streams] in steps; [onFinish] is called for each that ends. Not safe for concurrent use. */
internal class ContinuousBatch(
    private val settings: EngineSettings,
    private val streams: StreamTable,
    private val cache: PrefixCache,
    private val onFinish: (GenerationStream) -> Unit,
) {
    /** Fills free slots and returns the plan of the next step, or null when there is nothing to do. */
    fun planStep(): StepPlan? {
        fillSlots()
        return stepPlanOrNull(settings, batch())
    }

    /** Advances the streams of a plan that are still held. */
    fun apply(plan: StepPlan, nowMillis: Long) {
        plan.prefills.filter { it.stream in streams }.forEach { prefill(it, nowMillis) }
        plan.decodes.filter { it in streams }.forEach { decode(it, nowMillis) }
    }

    private fun batch(): List<GenerationStream> =
        streams.inState(StreamState.PREFILL) + streams.inState(StreamState.DECODE)

    private fun fillSlots() {
        val freeSlots = settings.slots - batch().size
        if (freeSlots > 0) {
            streams.inState(StreamState.QUEUED).sortedWith(URGENCY).take(freeSlots).forEach(::start)
        }
    }

    private fun start(stream: GenerationStream) {
        val cachedTokens = cache.lookUp(stream.request.model, stream.request.prompt.hashes) * BLOCK_TOKENS
        val reusableTokens = maxOf(0, minOf(cachedTokens, stream.promptTokens - 1))
        stream.prefilledTokens = maxOf(stream.prefilledTokens, reusableTokens)
        stream.state = if (stream.producedTokens > 0) StreamState.DECODE else StreamState.PREFILL
    }

    private fun prefill(chunk: PrefillChunk, nowMillis: Long) {
        val stream = chunk.stream
        stream.prefilledTokens += chunk.tokens
        if (stream.prefilledTokens >= stream.promptTokens) {
            cache.store(stream.request.model, stream.request.prompt.hashes, nowMillis)
            stream.state = StreamState.DECODE
            decode(stream, nowMillis)
        }
    }

    private fun decode(stream: GenerationStream, nowMillis: Long) {
        stream.produce()
        if (stream.producedTokens >= stream.request.maxTokens) {
            stream.state = StreamState.KEPT
            stream.keptUntilMillis = nowMillis + settings.retentionMillis
            stream.end(StreamEnd.FINISHED)
            onFinish(stream)
        }
    }
}
