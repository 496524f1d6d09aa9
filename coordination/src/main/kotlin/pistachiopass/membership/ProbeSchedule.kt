/** Decides which members are pinged when. */
package pistachiopass.membership

import kotlin.random.Random

/** Chooses the targets of probes among [records], and the [seeds] to be pinged. Confined to one thread. */
internal class ProbeSchedule(
    private val self: Member,
    private val seeds: List<MemberHost>,
    private val records: MemberRecords,
    private val nowMillis: () -> Long,
    private val random: Random,
    private val settings: MembershipSettings,
) {
    private val order = ArrayDeque<MemberHost>()
    private val startedMillis = nowMillis()
    private var nextProbeMillis = startedMillis
    private var nextSeedMillis = startedMillis

    /**
     * Returns the member to probe now, or null if none is due. Members are probed in random order, each once before any
     * is probed again; more often while there is more news than one message carries, as after the start of a fleet.
     */
    fun nextProbeOrNull(): MemberHost? {
        val now = nowMillis()
        if (now < nextProbeMillis) return null
        val isBusy = isJoining() || records.pending > settings.updatesMax
        nextProbeMillis = now + if (isBusy) joinProbeMillis() else settings.probeMillis
        if (order.isEmpty()) order.addAll(targets().map { it.host }.shuffled(random))
        while (order.isNotEmpty() && !records.isLive(order.first())) order.removeFirst()
        return order.removeFirstOrNull()
    }

    /** Returns all seeds while no other instance is known, and now and then one of them and one of the dead members. */
    fun seedsDue(): List<MemberHost> {
        val now = nowMillis()
        if (now < nextSeedMillis) return emptyList()
        val others = seeds.filter { it != self.host }
        val isAlone = records.liveMembers.isEmpty()
        nextSeedMillis = now + if (isAlone) joinProbeMillis() else settings.seedMillis
        return if (isAlone) others else listOfNotNull(others.randomOrNull(random), records.randomDeadOrNull())
    }

    /** An instance that starts gets to know its data centre first. */
    private fun targets(): List<Member> {
        val local = records.liveMembers.filter { it.dataCentre == self.dataCentre }
        return if (isJoining() && local.isNotEmpty()) local else records.liveMembers
    }

    private fun isJoining(): Boolean = nowMillis() - startedMillis < settings.joinMillis

    private fun joinProbeMillis(): Long = settings.probeMillis / JOIN_PROBE_FACTOR
}

private const val JOIN_PROBE_FACTOR: Long = 4
