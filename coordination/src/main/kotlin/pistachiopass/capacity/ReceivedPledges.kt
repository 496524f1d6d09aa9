/** The pledges that an owner holds for one endpoint. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** A pledge as it arrived; [expiresAtMillis] is a reading of the owner's clock. */
internal class ReceivedPledge(
    val incarnation: InstanceIncarnation,
    val sequence: Long,
    val share: Share,
    val expiresAtMillis: Long,
) {
    val pledger: InstanceId get() = incarnation.instance
}

/** Keeps the newest pledge of each instance and since when its pledges have followed each other without a gap. */
internal class ReceivedPledges {
    private val held: HashMap<InstanceId, PledgeSeries> = HashMap()

    /** Takes a pledge unless it has expired on the way or a later one has arrived; returns whether a series began. */
    fun accept(pledge: ReceivedPledge, nowMillis: Long): Boolean {
        val before = held[pledge.pledger]?.takeIf { it.pledge.incarnation == pledge.incarnation }
        val isLate = before != null && before.pledge.sequence >= pledge.sequence
        if (isLate || pledge.expiresAtMillis <= nowMillis) return false
        val continued = before?.takeIf { it.pledge.expiresAtMillis > nowMillis }
        held[pledge.pledger] = PledgeSeries(pledge, continued?.sinceMillis ?: nowMillis)
        return continued == null
    }

    /** Returns the unexpired pledges. */
    fun unexpired(nowMillis: Long): List<PledgeSeries> = held.values.filter { it.pledge.expiresAtMillis > nowMillis }
}

/** A pledge and the start of the series that it continues. */
internal class PledgeSeries(val pledge: ReceivedPledge, val sinceMillis: Long)
