/** Settings of the stand-in engine: its memory, speed, cold limits and reporting delays. */
package pistachiopass.standins.engine

/** Holds the settings of one stand-in engine. */
public data class EngineSettings(
    val endpoint: String = "e1",
    /** KV memory; the engine falls over when the requests it holds exceed it. */
    val capacityTokens: Long = 200_000,
    /** Requests in the batch at a time; further ones are queued. */
    val slots: Int = 16,
    /** Requests that may wait for a slot; further ones are refused. */
    val queueSlots: Int = 256,
    /** Tokens that a cold engine can hold. */
    val coldBudgetTokens: Long = 20_000,
    /** Requests that a cold engine can hold. */
    val coldSlots: Int = 4,
    /** Tokens of finished requests after which a cold engine is warm. */
    val warmAfterTokens: Long = 20_000,
    /** Time after the `cold` fault during which new requests still count as warm load. */
    val coldGraceMillis: Long = 0,
    val startCold: Boolean = true,
    /** Prefill speed of an engine that decodes nothing. */
    val prefillTokensPerSecond: Long = 50_000,
    /** Decode speed of one stream on an engine that prefills nothing. */
    val decodeTokensPerSecond: Long = 50,
    /** Speed at which KV caches are exported and imported. */
    val kvTokensPerSecond: Long = 1_000_000,
    /** Tokens that one step can process, prefill chunks and decodes together. */
    val stepTokens: Int = 512,
    /** Memory of the prefix cache. */
    val cacheTokens: Long = 100_000,
    /** Models that are loaded at start. */
    val models: List<String> = listOf("drape-8b"),
    /** Time that an order to load a model or an adapter takes. */
    val modelLoadMillis: Long = 1_000,
    val checksFencing: Boolean = true,
    /** Time by which the load report is late. */
    val loadLagMillis: Long = 200,
    /** Time by which cache events are late. */
    val cacheEventLagMillis: Long = 500,
    /** Every so many cache events one is lost; 0 loses none. */
    val cacheEventGap: Long = 50,
    /** Time for which a finished stream is kept for resumption. */
    val retentionMillis: Long = 30_000,
)
