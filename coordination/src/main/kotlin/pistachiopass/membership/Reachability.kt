/**
 * Reachability of peers, judged from their heartbeats.
 *
 * It is the view of this instance, and other instances may have another one. It serves to avoid calls that would fail.
 * Which instance owns an endpoint is never derived from it, only from the published instance list.
 */
package pistachiopass.membership

import pistachiopass.model.InstanceId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The reachability of a peer as seen by this instance. */
public enum class PeerReachability {
    /** No heartbeat has arrived since this process started. */
    UNKNOWN,

    /** A heartbeat has arrived recently. */
    REACHABLE,

    /** No heartbeat has arrived for longer than the time limit. */
    SUSPECT,
}

/**
 * Keeps the time of the last heartbeat of each peer, on the monotonic [clock] of this process.
 *
 * A peer becomes suspect after [suspectAfterMillis] without a heartbeat. Thread-safe.
 */
public class Reachability(
    private val suspectAfterMillis: Long,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val lastHeartbeats: ConcurrentHashMap<InstanceId, ComparableTimeMark> = ConcurrentHashMap()

    init {
        require(suspectAfterMillis > 0) { "suspectAfterMillis must be positive: $suspectAfterMillis" }
    }

    /** Records that a heartbeat of [peer] has arrived now. */
    public fun recordHeartbeat(peer: InstanceId) {
        lastHeartbeats.merge(peer, clock.markNow()) { earlier, later -> maxOf(earlier, later) }
    }

    /** Returns the present reachability of [peer]. */
    public fun statusOf(peer: InstanceId): PeerReachability {
        val mark = lastHeartbeats[peer]
        return when {
            mark == null -> PeerReachability.UNKNOWN
            mark.elapsedNow() > suspectAfterMillis.milliseconds -> PeerReachability.SUSPECT
            else -> PeerReachability.REACHABLE
        }
    }

    /** Returns the time since the last heartbeat of [peer], or null when none has arrived. */
    public fun silenceMillisOrNull(peer: InstanceId): Long? = lastHeartbeats[peer]?.elapsedNow()?.inWholeMilliseconds

    /** Removes all peers that are not in [published], so that replaced instances take no memory. */
    public fun retainOnly(published: Set<InstanceId>) {
        lastHeartbeats.keys.retainAll(published)
    }
}
