/** Limits and periods of the relay of documents. */
package pistachiopass.tables.relay

/** Settings for how many instances watch the platform and how often versions are compared. */
public data class RelaySettings(
    /** Number of instances of each data centre that watch the platform. */
    val readers: Int = 2,
    /** Number of instances of other data centres to compare versions with, besides all of the own data centre. */
    val remotePartners: Int = 4,
    /** Mean time between two comparisons of versions. */
    val comparePeriodMillis: Long = 5_000,
    /** Fraction of a period by which it is shortened or lengthened at random. */
    val jitter: Double = 0.2,
    /** Time for which a watch of the platform waits for a change. */
    val watchTimeoutMillis: Long = 20_000,
    /** Maximum pause after a failed watch of the platform. */
    val platformBackoffMaxMillis: Long = 5_000,
    /** Pause after the first failed watch of the platform, before jitter; doubled with each further failure. */
    val platformBackoffMinMillis: Long = 200,
    /** Maximum random delay before an instance that has become a reader calls the platform. */
    val takeOverDelayMaxMillis: Long = 1_000,
    /** Time after which a starting instance asks no more peers. */
    val startTimeoutMillis: Long = 5_000,
    /** Number of peers that a starting instance asks at a time. */
    val startBatchPeers: Int = 8,
    /** Time after which a published instance without any heartbeat counts as silent. */
    val silentAfterMillis: Long = 4_000,
) {
    init {
        require(readers > 0) { "readers must be positive: $readers" }
        require(jitter in 0.0..1.0) { "jitter must be within 0..1: $jitter" }
    }
}
