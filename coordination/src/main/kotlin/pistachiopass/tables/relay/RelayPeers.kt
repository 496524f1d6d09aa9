/** The peers with which the relay of one instance exchanges documents and versions. */
package pistachiopass.tables.relay

import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses peers by heartbeats and by [list], the instance list in force or else that of the platform. */
internal class RelayPeers(
    private val environment: RelayEnvironment,
    private val settings: RelaySettings,
    private val list: () -> InstanceList?,
) {
    private val self = environment.self
    private val silentPeers = SilentPeers(environment.reachability, environment.clock, settings.silentAfterMillis)
    private var compareAt: ComparableTimeMark = environment.clock.markNow()

    /** Returns the other instances of the own data centre. */
    fun localPeers(): List<InstanceId> = list()?.localPeersOf(self).orEmpty()

    /** Returns the readers of the other data centres. */
    fun remoteReaders(): List<InstanceId> = list()?.remoteReadersOf(self, settings.readers).orEmpty()

    /** Returns whether this instance watches the platform; it does if it has no instance list. */
    fun isReader(): Boolean {
        val current = list()
        silentPeers.onList(current)
        return current?.isReader(self, settings.readers, silentPeers::isSilent) ?: true
    }

    /** Returns the peer to compare versions with now, or null if none is due; without tables, it is due more often. */
    fun partnerOrNull(hasTables: Boolean): InstanceId? {
        if (compareAt.hasNotPassedNow()) return null
        val meanMillis =
            if (hasTables) settings.comparePeriodMillis else minOf(settings.comparePeriodMillis, NO_TABLES_MILLIS)
        compareAt = environment.clock.markNow() + jittered(meanMillis)
        val partners = list()?.let { localPeers() + it.remotePartnersOf(self, settings.remotePartners) }
            ?: environment.bootstrap
        return partners.filterNot(silentPeers::isSilent).ifEmpty { partners }.randomOrNull(environment.random)
    }

    /** Makes the next comparison due soon after a failed call to a peer. */
    fun compareSoon() {
        compareAt = minOf(compareAt, environment.clock.markNow() + jittered(FAILURE_COMPARE_DELAY_MILLIS))
    }

    private fun jittered(meanMillis: Long): Duration =
        (meanMillis * (1 + settings.jitter * (2 * environment.random.nextDouble() - 1))).milliseconds
}

private const val NO_TABLES_MILLIS: Long = 1_000
private const val FAILURE_COMPARE_DELAY_MILLIS: Long = 300
