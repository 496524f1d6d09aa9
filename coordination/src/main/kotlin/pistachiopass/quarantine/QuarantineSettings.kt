/** Settings of the quarantine of prompt parts. */
package pistachiopass.quarantine

/** Thresholds, periods and limits of a quarantine; all instances of a fleet use the same. */
public data class QuarantineSettings(
    /** Runs of endpoints that have to end, one after the other, before a part is quarantined. */
    public val runsMin: Int = 4,
    /**
     * Different contents of requests that have to be among these before a part is quarantined; one more for a part that
     * is remembered to have been answered.
     */
    public val requestsMin: Int = 2,
    /** Time since the first event of a response after which the end of its run is not attributed to its parts. */
    public val onsetMillis: Long = 100,
    /**
     * Duration of an attempt without a response head up to which its connection is taken to have been broken before, as
     * by a link that resets connections.
     */
    public val staleMillis: Long = 50,
    /** Time since the first event of a response after which its run has survived its parts. */
    public val survivalMillis: Long = 500,
    /** Time for which a run that ended is evidence. */
    public val evidenceMillis: Long = 300_000,
    /** Duration of the first quarantine of a part; each renewal doubles it. */
    public val quarantineMillis: Long = 60_000,
    public val quarantineMaxMillis: Long = 960_000,
    /** Time in which the outcome of a trial is expected, so that no second one begins. */
    public val trialMillis: Long = 10_000,
    /** Time for which it is remembered that a part was cleared; older evidence is no longer passed on by then. */
    public val clearedMillis: Long = 60_000,
    /** Suspects that are remembered. */
    public val partsMax: Int = 512,
    /** Parts that are remembered to have been answered by an instance. */
    public val answeredMax: Int = 2_048,
    /** Runs that are remembered for each part, so that they are not counted against others. */
    public val runsMax: Int = 64,
    /** Crashes of a part that one message describes. */
    public val statedCrashesMax: Int = 12,
    /** Runs of a quarantined part that one message names. */
    public val statedRunsMax: Int = 48,
    /**
     * Age from which on a crash counts against a part while another one was quarantined shortly before: by then it is
     * known whether that one explains the crash.
     */
    public val settleMillis: Long = 500,
    /** Difference between the times at which two instances see the same event, from the transfer of messages. */
    public val skewMillis: Long = 25,
    /** Time from the begin of a quarantine in which attempts that were sent before may still end runs. */
    public val inFlightMillis: Long = 1_500,
)

/** Periods and limits of the messages about a quarantine. */
public data class QuarantineGossipSettings(
    /** Shortest time between two batches of news. */
    public val newsMillis: Long = 200,
    /** Receivers of a batch of news. */
    public val fanOut: Int = 3,
    /** Times that news are passed on for each doubling of the instances. */
    public val transmissionsPerDoubling: Int = 2,
    /** Time between two messages that repeat what is quarantined, for instances that have missed it. */
    public val repeatMillis: Long = 1_000,
    /** Time between two questions of an instance that has just started. */
    public val questionMillis: Long = 500,
    /** Time after the start in which questions are asked if none was answered. */
    public val questionsMillis: Long = 10_000,
    /** Size of the statements of one message, so that it fits a datagram. */
    public val messageBytesMax: Int = 1_150,
)
