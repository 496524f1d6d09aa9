/**
 * The stand-in engine without HTTP and without time of its own.
 *
 * The caller passes the time to each call and runs the steps: [EngineCore.planStep] says what the next step does and
 * how long it takes, [EngineCore.apply] makes its results visible.
 */
package pistachiopass.standins.engine

/** Says what became of a request on arrival. */
internal sealed interface Admission {
    /** The request is queued or in the batch. */
    data class Taken(val stream: GenerationStream) : Admission

    /** The request was refused before it was queued. */
    data class Refused(val retryAfterMillis: Long) : Admission

    /** The engine does not serve the model. */
    data object UnknownModel : Admission
}

/** Runs requests in a continuous batch within limited memory; not safe for concurrent use. */
internal class EngineCore(private val settings: EngineSettings, private val newStartId: () -> String) {
    private val streams: LinkedHashMap<String, GenerationStream> = LinkedHashMap()
    private val cancelled: LinkedHashSet<String> = LinkedHashSet()
    private val cold: ColdState = ColdState(settings)
    private val load: LoadHistory = LoadHistory(settings.loadLagMillis)
    private var sequence: Long = 0
    private var completedTokens: Long = 0

    /** Keeps the cache events. */
    val cacheEvents: CacheEventLog = CacheEventLog(settings.cacheEventLagMillis, settings.cacheEventGap)
    private val cache: PrefixCache = PrefixCache(settings.cacheTokens / BLOCK_TOKENS, cacheEvents)

    /** Keeps what the engine has seen. */
    val record: EngineRecord = EngineRecord(settings.endpoint)

    /** Names the present start. */
    var startId: String = newStartId()
        private set

    /** Models, adapters and role in force. */
    var loaded: LoadedModels = LoadedModels(settings)
        private set

    init {
        record.started(startId)
        if (settings.startCold) cold.chill(Long.MIN_VALUE)
    }

    /** Takes or refuses a request. */
    fun submit(request: GenerationRequest, nowMillis: Long): Admission {
        keepLoad(nowMillis)
        val waiting = streams.values.count { it.state == StreamState.QUEUED }
        return when {
            request.model !in loaded.models -> Admission.UnknownModel.also { record.refused(request) }
            waiting >= settings.queueSlots -> Admission.Refused(RETRY_AFTER_MILLIS).also { record.refused(request) }
            else -> Admission.Taken(take(newStream(request, nowMillis), nowMillis))
        }
    }

    /** Adds a stream that another engine began. */
    fun adopt(stream: GenerationStream, nowMillis: Long) {
        keepLoad(nowMillis)
        take(stream, nowMillis)
    }

    /** Returns the stream, or null when it is not kept. */
    fun streamOrNull(streamId: String): GenerationStream? = streams[streamId]

    /** Returns the newest stream of a request, or null. */
    fun streamOfRequestOrNull(requestId: String): GenerationStream? =
        streams.values.lastOrNull { it.request.requestId == requestId }

    /** Returns whether a stream was cancelled. */
    fun wasCancelled(streamId: String): Boolean = streamId in cancelled

    /** Cancels a stream and frees its memory. */
    fun cancel(stream: GenerationStream, nowMillis: Long) {
        keepLoad(nowMillis)
        streams.remove(stream.streamId)
        if (stream.progress.value.end == null) stream.end(StreamEnd.CANCELLED)
        cancelled.add(stream.streamId)
        if (cancelled.size > KEPT_CANCELLED) cancelled.remove(cancelled.first())
    }

    /** Fills free slots and returns the plan of the next step, or null when there is nothing to do. */
    fun planStep(): StepPlan? {
        fillSlots()
        return stepPlanOrNull(settings, batch())
    }

    /** Makes the results of a step visible. */
    fun apply(plan: StepPlan, nowMillis: Long) {
        keepLoad(nowMillis)
        plan.prefills.filter { isHeld(it.stream) }.forEach { prefill(it, nowMillis) }
        plan.decodes.filter { isHeld(it) }.forEach { decode(it, nowMillis) }
        fallOverIfExceeded()
    }

    /** Forgets finished streams whose retention has passed, and returns when the next one passes, or null. */
    fun expire(nowMillis: Long): Long? {
        if (streams.values.any { it.keptUntilMillis <= nowMillis }) {
            keepLoad(nowMillis)
            streams.values.removeIf { it.keptUntilMillis <= nowMillis }
        }
        return streams.values.minOfOrNull { it.keptUntilMillis }?.takeIf { it != Long.MAX_VALUE }
    }

    /** Turns cold with the same start id; what is already held does not count as cold load. */
    fun chill(nowMillis: Long) {
        keepLoad(nowMillis)
        cold.chill(nowMillis + settings.coldGraceMillis)
        cache.clear()
    }

    /** Loses all state and comes back cold with a new start id. */
    fun restart() {
        streams.values.filter { it.progress.value.end == null }.forEach { it.end(StreamEnd.LOST) }
        streams.clear()
        cancelled.clear()
        cache.clear()
        completedTokens = 0
        loaded = LoadedModels(settings)
        startId = newStartId()
        record.started(startId)
        cold.chill(Long.MIN_VALUE)
    }

    /** Returns the load report as it was before the reporting lag. */
    fun loadReport(nowMillis: Long): LoadReport = load.delayed(nowMillis, ::currentLoad)

    /** Returns the load at this moment. */
    fun currentLoad(): LoadReport = LoadReport(
        settings.endpoint,
        startId,
        cold.isCold,
        settings.capacityTokens,
        usedTokens(),
        settings.slots,
        streams.values.map { LoadedRequest(it.request.requestId, it.heldTokens, it.state.text) },
        loaded.models.toList(),
        loaded.adapters.toList(),
        loaded.role,
        completedTokens,
        ageMillis = 0,
    )

    /** Keeps the present load for late reports; called before changes. */
    fun keepLoad(nowMillis: Long) {
        load.beforeChange(nowMillis, ::currentLoad)
    }

    private fun newStream(request: GenerationRequest, nowMillis: Long): GenerationStream {
        sequence++
        return GenerationStream("$startId-$sequence", startId, request, sequence, nowMillis)
    }

    private fun take(stream: GenerationStream, nowMillis: Long): GenerationStream {
        streams[stream.streamId] = stream
        record.taken(stream)
        expire(nowMillis)
        fallOverIfExceeded()
        return stream
    }

    private fun batch(): List<GenerationStream> =
        streams.values.filter { it.state == StreamState.PREFILL || it.state == StreamState.DECODE }

    private fun fillSlots() {
        val free = settings.slots - batch().size
        if (free <= 0) return
        streams.values.filter { it.state == StreamState.QUEUED }.sortedWith(URGENCY).take(free).forEach(::start)
    }

    private fun start(stream: GenerationStream) {
        val cachedTokens = cache.lookUp(stream.request.model, stream.request.prompt.hashes) * BLOCK_TOKENS
        val reusableTokens = maxOf(0, minOf(cachedTokens, stream.promptTokens - 1))
        stream.prefilledTokens = maxOf(stream.prefilledTokens, reusableTokens)
        val isPrefilled = stream.producedTokens > 0 && stream.prefilledTokens >= stream.promptTokens
        stream.state = if (isPrefilled) StreamState.DECODE else StreamState.PREFILL
    }

    private fun prefill(chunk: PrefillChunk, nowMillis: Long) {
        val stream = chunk.stream
        stream.prefilledTokens += chunk.tokens
        if (stream.prefilledTokens < stream.promptTokens) return
        cache.store(stream.request.model, stream.request.prompt.hashes, nowMillis)
        stream.state = StreamState.DECODE
        decode(stream, nowMillis)
    }

    private fun decode(stream: GenerationStream, nowMillis: Long) {
        stream.produce()
        if (stream.producedTokens < stream.request.maxTokens) return
        stream.state = StreamState.KEPT
        stream.keptUntilMillis = nowMillis + settings.retentionMillis
        stream.end(StreamEnd.FINISHED)
        completedTokens += stream.heldTokens
        cold.completed(stream.heldTokens)
    }

    private fun fallOverIfExceeded() {
        val usedTokens = usedTokens()
        val coldStreams = cold.coldStreams(streams.values)
        val coldTokens = coldStreams.sumOf { it.heldTokens }
        val coldRequests = coldStreams.count { it.state != StreamState.KEPT }
        record.loaded(usedTokens, coldTokens, coldRequests)
        if (usedTokens > settings.capacityTokens || cold.exceeded(coldTokens, coldRequests)) {
            record.fellOver()
            restart()
        }
    }

    private fun usedTokens(): Long = streams.values.sumOf { it.heldTokens }

    private fun isHeld(stream: GenerationStream): Boolean = streams[stream.streamId] === stream

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
        const val KEPT_CANCELLED = 10_000
    }
}
