/** Time limits of pledges and leases, and the clock on which one process counts them. */
package pistachiopass.capacity

import kotlin.time.TimeSource

/** Holds the time limits; all instances of a fleet use the same. */
public data class CapacityTimes(
    /** Time between the heartbeats of an instance. */
    val heartbeatMillis: Long = 1_000,
    /** Time for which a pledge counts at the owner, from the owner's clock reading that the pledge echoes. */
    val pledgeMillis: Long = 4_000,
    /** Time that a pledger adds before it moves a pledge; covers the drift of clocks over a pledge. */
    val driftMillis: Long = 200,
    /** Longest time between the first and the last instance to see a published table. */
    val tableLagMillis: Long = 4_000,
    /** Longest time from the grant of a lease to the send of the request. */
    val sendWindowMillis: Long = 1_000,
    /** Time without renewal after which a lease is expired. */
    val leaseMillis: Long = 6_000,
    /** Longest time from the check of a lease before the send to the endpoint's taking of the request. */
    val inFlightMillis: Long = 500,
    /** Time without a load report after which an endpoint counts as cold. */
    val reportTimeoutMillis: Long = 3_000,
    /** Shortest time that a lease leaves its holder to send. */
    val minSendWindowMillis: Long = 200,
) {
    /** Time after a change of the tables until a grown share may be pledged. */
    val settleMillis: Long get() = tableLagMillis + pledgeMillis + driftMillis

    /** Time without an answer after which an owner counts as unreachable. */
    val unreachableMillis: Long get() = 2 * heartbeatMillis + heartbeatMillis / 2
}

/** Counts milliseconds on the monotonic clock of this process from an arbitrary origin. */
public class LocalClock(source: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val origin = source.markNow()

    /** Returns the present reading. */
    public fun nowMillis(): Long = origin.elapsedNow().inWholeMilliseconds
}
