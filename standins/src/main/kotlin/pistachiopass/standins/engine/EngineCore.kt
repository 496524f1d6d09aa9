/**
 * The stand-in engine without HTTP and without time of its own.
 *
 * The caller passes the time to each call and runs the steps: [ContinuousBatch.planStep] says what the next step does
 * and how long it takes, [EngineCore.apply] makes its results visible.
 */
package pistachiopass.standins.engine

/** Says what became of a request on arrival. */
internal sealed interface Admission {
    /** The request is queued or in the batch. */
    data class Accepted(val stream: GenerationStream) : Admission

    /** The request was refused before it was queued. */
    data class Refused(val retryAfterMillis: Long) : Admission

    /** The engine does not serve the model. */
    data object UnknownModel : Admission
}

/**
 * Runs requests in a continuous batch within limited memory; not safe for concurrent use.
 *
 * [onRestart] is called when the engine is about to lose its state, before any stream learns of it.
 */
internal class EngineCore(
    val settings: EngineSettings,
    private val newStartId: () -> String,
    private val onRestart: () -> Unit = {},
) {
    private var sequence: Long = 0

    /** Keeps what the engine has seen. */
    val record: EngineRecord = EngineRecord(settings.endpoint)

    /** Keeps the cache events. */
    val cacheEvents: CacheEventLog = CacheEventLog(settings.cacheEventLagMillis, settings.cacheEventGap)
    private val cache: PrefixCache = PrefixCache(settings.cacheTokens / BLOCK_TOKENS, cacheEvents)

    /** Holds the streams of this start. */
    val streams: StreamTable = StreamTable()

    /** Advances the streams. */
    val batch: ContinuousBatch = ContinuousBatch(settings, streams, cache, ::finished)

    /** Tells whether the engine is cold. */
    val cold: ColdState = ColdState(settings)

    /** Keeps past load reports. */
    val loadHistory: LoadHistory = LoadHistory(settings.loadLagMillis)

    /** Tokens of all requests that this start has finished. */
    var completedTokens: Long = 0
        private set

    /** Models, adapters and role in force. */
    var loaded: LoadedModels = LoadedModels(settings)
        private set

    /** Names the present start. */
    var startId: String = newStartId()
        private set

    init {
        record.started(startId)
        if (settings.startCold) cold.markCold(Long.MIN_VALUE)
    }

    /** Takes or refuses a request. */
    fun submit(request: GenerationRequest, nowMillis: Long): Admission {
        val admission = when {
            request.model !in loaded.models -> Admission.UnknownModel
            streams.inState(StreamState.QUEUED).size >= settings.queueSlots -> Admission.Refused(RETRY_AFTER_MILLIS)
            else -> Admission.Accepted(newStream(request, nowMillis))
        }
        if (admission is Admission.Accepted) accept(admission.stream, nowMillis) else record.refused(request)
        return admission
    }

    /** Adds a stream to those that are held. */
    fun accept(stream: GenerationStream, nowMillis: Long) {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        streams.expire(nowMillis)
        streams.add(stream)
        record.accepted(stream)
        restartIfExceeded()
    }

    /** Cancels a stream and frees its memory. */
    fun cancel(stream: GenerationStream, nowMillis: Long) {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        streams.cancel(stream)
    }

    /** Makes the results of a step visible. */
    fun apply(plan: StepPlan, nowMillis: Long) {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        batch.apply(plan, nowMillis)
        restartIfExceeded()
    }

    /** Forgets finished streams whose retention has passed, and returns when the next one passes, or null. */
    fun expire(nowMillis: Long): Long? {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        return streams.expire(nowMillis)
    }

    /** Turns cold with the same start id; what is already held does not count as cold load. */
    fun markCold(nowMillis: Long) {
        loadHistory.beforeChange(nowMillis, ::currentLoad)
        cold.markCold(nowMillis + settings.coldGraceMillis)
        cache.clear()
    }

    /** Loses all state and comes back cold with a new start id. */
    fun restart() {
        onRestart()
        streams.loseAll()
        cache.clear()
        loadHistory.clear()
        completedTokens = 0
        loaded = LoadedModels(settings)
        startId = newStartId()
        record.started(startId)
        cold.markCold(Long.MIN_VALUE)
    }

    private fun newStream(request: GenerationRequest, nowMillis: Long): GenerationStream {
        sequence++
        return GenerationStream("$startId-$sequence", startId, request, sequence, nowMillis)
    }

    private fun finished(stream: GenerationStream) {
        completedTokens += stream.heldTokens
        cold.completed(stream.heldTokens)
    }

    private fun restartIfExceeded() {
        val coldStreams = cold.coldStreams(streams.all)
        val coldTokens = coldStreams.sumOf { it.heldTokens }
        val coldRequests = coldStreams.count { it.state != StreamState.KEPT }
        record.loaded(streams.usedTokens, coldTokens, coldRequests)
        if (streams.usedTokens > settings.capacityTokens || cold.exceeded(coldTokens, coldRequests)) {
            record.fellOver()
            restart()
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

/** Returns the load report as it was before the reporting lag. */
internal fun EngineCore.loadReport(nowMillis: Long): LoadReport = loadHistory.delayed(nowMillis, ::currentLoad)

/** Returns the load of the engine at this moment. */
internal fun EngineCore.currentLoad(): LoadReport = LoadReport(
    settings.endpoint,
    startId,
    cold.isCold,
    settings.capacityTokens,
    streams.usedTokens,
    settings.slots,
    streams.all.map { ReportedRequest(it.request.requestId, it.heldTokens, it.state.text) },
    loaded.models.toList(),
    loaded.adapters.toList(),
    loaded.role,
    completedTokens,
    ageMillis = 0,
)
