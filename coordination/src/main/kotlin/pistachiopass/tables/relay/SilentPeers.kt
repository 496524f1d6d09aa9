/** Finds published peers whose heartbeats have stopped or never arrived. */
package pistachiopass.tables.relay

import pistachiopass.membership.PeerReachability
import pistachiopass.membership.Reachability
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Judges peers by heartbeats; a newly listed peer has [silentAfterMillis] for its first one. */
internal class SilentPeers(
    private val reachability: Reachability,
    private val clock: TimeSource.WithComparableMarks,
    private val silentAfterMillis: Long,
) {
    private var list: InstanceList? = null
    private val listedAt = HashMap<InstanceId, ComparableTimeMark>()

    /** Records the present instance list. */
    fun onList(current: InstanceList?) {
        if (current === list || current == null) return
        list = current
        val ids = current.instances.map { it.id }
        listedAt.keys.retainAll(ids.toSet())
        ids.forEach { listedAt.getOrPut(it, clock::markNow) }
    }

    /** Returns whether [peer] has sent no heartbeat for too long. */
    fun isSilent(peer: InstanceId): Boolean = when (reachability.statusOf(peer)) {
        PeerReachability.REACHABLE -> false
        PeerReachability.SUSPECT -> true
        PeerReachability.UNKNOWN -> listedAt[peer]?.let { it.elapsedNow() > silentAfterMillis.milliseconds } ?: false
    }
}
