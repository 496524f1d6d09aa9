/**
 * Reachability of peers, judged from their heartbeats.
 *
 * Reachability is what this instance sees; other instances see other things. It serves to avoid calls that would
 * fail. Ownership is never derived from it, only from the published instance list.
 */
package pistachiopass.membership

import pistachiopass.model.InstanceId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Tells what this instance knows of a peer. */
public enum class PeerStatus {
    /** Never heard since this process started. */
    UNKNOWN,

    /** Heard recently. */
    REACHABLE,

    /** Silent for longer than the stated time. */
    SUSPECT,
}

/**
 * Keeps when each peer was last heard, on the monotonic clock [clock] of this process.
 *
 * A peer is suspect after [suspectAfterMillis] without a heartbeat. Safe for use by many threads.
 */
public class Reachability(
    private val suspectAfterMillis: Long,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val lastHeartbeats: ConcurrentHashMap<InstanceId, ComparableTimeMark> = ConcurrentHashMap()

    init {
        require(suspectAfterMillis > 0) { "suspectAfterMillis must be positive: $suspectAfterMillis" }
    }

    /** Records that [peer] was heard now. */
    public fun recordHeartbeat(peer: InstanceId) {
        lastHeartbeats.merge(peer, clock.markNow()) { earlier, later -> maxOf(earlier, later) }
    }

    /** Returns what is known of [peer] now. */
    public fun statusOf(peer: InstanceId): PeerStatus {
        val mark = lastHeartbeats[peer]
        return when {
            mark == null -> PeerStatus.UNKNOWN
            mark.elapsedNow() > suspectAfterMillis.milliseconds -> PeerStatus.SUSPECT
            else -> PeerStatus.REACHABLE
        }
    }

    /** Returns for how long [peer] has been silent, or null when it was never heard. */
    public fun silenceMillisOrNull(peer: InstanceId): Long? = lastHeartbeats[peer]?.elapsedNow()?.inWholeMilliseconds

    /** Forgets all peers that are not in [published], so that replaced instances take no memory. */
    public fun retainOnly(published: Set<InstanceId>) {
        lastHeartbeats.keys.retainAll(published)
    }
}
