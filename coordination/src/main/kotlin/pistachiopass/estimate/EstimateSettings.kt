/** Settings of the speed estimates and of their exchange; all instances of a fleet use the same. */
package pistachiopass.estimate

/** Periods, weights and limits of the speed estimates. */
public data class EstimateSettings(
    /** Time in which the weight of a sample falls to 1/e; short, so that a change shows within 3 s. */
    public val decayMillis: Double = 2_000.0,
    /** Number of samples with factor 1 that are assumed for each endpoint, so that few samples say little. */
    public val priorSamples: Double = 2.0,
    /** Standard deviation of the ratio of one sample, relative to the ratio. */
    public val sampleDeviation: Double = 0.4,
    /** Range of the ratio of one sample; a ratio beyond it counts as the nearer end. */
    public val ratioMin: Double = 0.02,
    public val ratioMax: Double = 50.0,
    /** Range of a factor. */
    public val factorMin: Double = 0.125,
    public val factorMax: Double = 8.0,
    /** Endpoints of a group that need samples before their median replaces the published speed. */
    public val medianEndpointsMin: Int = 3,
    /** Time for which a median is used before it is computed again. */
    public val medianAgeMaxMillis: Long = 250,
    /** Samples of one level of concurrency that are needed before it counts for the concurrency limit. */
    public val levelSamplesMin: Double = 2.0,
    /** Gain of throughput below which a higher level of concurrency does not count as better. */
    public val throughputGainMin: Double = 0.1,
    /** Part of the slots by which a lowered limit rises in each second without evidence against it. */
    public val limitRisePerSecond: Double = 0.1,
    /** Factor above which, and below the inverse of which, an endpoint is reported. */
    public val reportedFactor: Double = 1.5,
    /** Factor between which and its inverse a reported endpoint counts as back at normal speed. */
    public val normalFactor: Double = 1.3,
    /** Samples that are needed before an endpoint is reported. */
    public val reportedSamplesMin: Double = 3.0,
    /** Endpoints that are reported at a time. */
    public val reportedMax: Int = 200,
    /** Shortest time between two messages about one endpoint. */
    public val messageMillis: Long = 1_000,
    /** Receivers of one message. */
    public val recipientsMax: Int = 64,
    /** Size of the deltas of one message; a datagram of 1,472 bytes holds them and the rest of the message. */
    public val messageBytesMax: Int = 1_350,
    /** Bytes of messages to all recipients in one second; a part of the 19 KB per second of the control plane. */
    public val bytesPerSecondMax: Int = 6_000,
    /** Senders whose last sequence numbers are remembered. */
    public val sendersMax: Int = 2_048,
)
