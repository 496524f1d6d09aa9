/** Time limits of pledges and leases, and the clock by which a process measures them. */
package pistachiopass.capacity

import kotlin.time.TimeSource

/** Time limits of pledges and leases; all instances must use the same values. */
public data class CapacityTimes(
    /** Interval between the heartbeats of an instance. */
    val heartbeatMillis: Long = 1_000,
    /** Validity of a pledge at the owner, counted from the owner's clock reading that the heartbeat echoes. */
    val pledgeMillis: Long = 4_000,
    /** Margin that a pledger adds before it moves a pledge; covers clock drift over the validity of a pledge. */
    val driftMillis: Long = 200,
    /** Maximum time between the first and the last instance's receipt of a published table. */
    val tableLagMillis: Long = 4_000,
    /** Maximum time from the grant of a lease to the sending of its request. */
    val sendWindowMillis: Long = 1_000,
    /** Time without renewal after which a lease expires. */
    val leaseMillis: Long = 6_000,
    /**
     * Maximum time from the check of a lease, immediately before the request is sent, to its arrival at the endpoint.
     */
    val inFlightMillis: Long = 500,
    /** Time without a load report after which an endpoint is considered cold. */
    val reportTimeoutMillis: Long = 3_000,
    /** Minimum time that a new lease leaves its holder for sending the request. */
    val minSendWindowMillis: Long = 200,
) {
    /** Time from a change of the tables until an increased share may be pledged. */
    val settleMillis: Long get() = tableLagMillis + pledgeMillis + driftMillis

    /** Time without an answer to a heartbeat after which an owner is considered unreachable. */
    val unreachableMillis: Long get() = 2 * heartbeatMillis + heartbeatMillis / 2
}

/** Monotonic clock of this process, in milliseconds from an arbitrary origin. */
public class LocalClock(source: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val origin = source.markNow()

    /** Returns the current reading, in milliseconds. */
    public fun nowMillis(): Long = origin.elapsedNow().inWholeMilliseconds
}
