/** Cold state of an engine: the small load that it can bear and the work after which it is warm. */
package pistachiopass.standins.engine

/** Tracks whether the engine is cold; not safe for concurrent use. */
internal class ColdState(private val settings: EngineSettings) {
    private var workLeftTokens: Long = 0
    private var countsFromMillis: Long = 0

    /** Whether the engine is cold. */
    val isCold: Boolean get() = workLeftTokens > 0

    /** Turns cold; requests that arrive before [fromMillis] do not count as cold load. */
    fun markCold(fromMillis: Long) {
        workLeftTokens = settings.warmAfterTokens
        countsFromMillis = fromMillis
    }

    /** Takes note of a finished request. */
    fun completed(tokens: Long) {
        workLeftTokens = maxOf(0, workLeftTokens - tokens)
    }

    /** Returns those of [streams] that count as cold load. */
    fun coldStreams(streams: Collection<GenerationStream>): List<GenerationStream> =
        if (isCold) streams.filter { it.arrivedMillis >= countsFromMillis } else emptyList()

    /** Returns whether the cold load exceeds what the engine can bear. */
    fun exceeded(tokens: Long, requests: Int): Boolean =
        isCold && (tokens > settings.coldBudgetTokens || requests > settings.coldSlots)
}
