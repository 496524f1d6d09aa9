/** Bounds and periods of the relay of documents. */
package pistachiopass.tables.relay

/** Holds how many instances read the platform and how often versions are compared. */
public data class RelaySettings(
    /** Instances of a data centre that watch the platform. */
    val readers: Int = 2,
    /** Instances of other data centres with which versions are compared, besides all of the own one. */
    val remotePartners: Int = 4,
    /** Mean time between two comparisons of versions with a peer. */
    val comparePeriodMillis: Long = 5_000,
    /** Share of a period by which it is shortened or lengthened at random. */
    val jitter: Double = 0.2,
    /** Longest time that a watch of the platform waits. */
    val watchTimeoutMillis: Long = 20_000,
    /** Longest pause after a failed call to the platform. */
    val platformBackoffMaxMillis: Long = 5_000,
    /** Shortest pause after a failed call to the platform; doubled with each further failure. */
    val platformBackoffMinMillis: Long = 200,
    /** Longest time before an instance that has become a reader calls the platform. */
    val takeOverDelayMaxMillis: Long = 1_000,
    /** Longest time at the start that goes by in asking peers. */
    val startTimeoutMillis: Long = 5_000,
    /** Peers that are asked at a time at the start. */
    val startBatchPeers: Int = 8,
    /** Time after which a published instance that was never heard counts as silent. */
    val silentAfterMillis: Long = 4_000,
) {
    init {
        require(readers > 0) { "readers must be positive: $readers" }
        require(jitter in 0.0..1.0) { "jitter must be within 0..1: $jitter" }
    }
}
