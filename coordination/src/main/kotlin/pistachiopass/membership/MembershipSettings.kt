/** Settings of the membership protocol. */
package pistachiopass.membership

/** Periods and limits of the membership protocol. */
public data class MembershipSettings(
    /** Time between two probes. */
    public val probeMillis: Long = 500,
    /** Time for an answer to a ping, and again for one by way of others; dozens of round trips. */
    public val answerMillis: Long = 300,
    /** Time in which a suspect may refute its failure; longer than a short pause and the way of the news. */
    public val suspicionMillis: Long = 2_000,
    /** Time for which dead members are remembered; behind a network partition they may be alive. */
    public val forgetMillis: Long = 60_000,
    /** Time between two pings of a seed, so that parts of the fleet that have lost each other meet again. */
    public val seedMillis: Long = 4_000,
    /** Time after the start in which probes are more frequent, since most members are unknown. */
    public val joinMillis: Long = 2_000,
    /** Instances that are asked to ping one that does not answer. */
    public val helpers: Int = 2,
    /** Updates in one message; it has to fit a datagram. */
    public val updatesMax: Int = 10,
    /** Updates in the answer to an instance that was not known. */
    public val joinUpdatesMax: Int = 14,
)
