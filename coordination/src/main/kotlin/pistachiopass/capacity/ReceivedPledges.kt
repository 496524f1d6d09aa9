/** The pledges that a lease table has received for one endpoint. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** A pledge from one heartbeat; [expiresAtMillis] is a reading of the owner's clock. */
internal class ReceivedPledge(
    val incarnation: InstanceIncarnation,
    val sequence: Long,
    val share: Share,
    val expiresAtMillis: Long,
) {
    val pledger: InstanceId get() = incarnation.instance
}

/** Keeps the newest pledge of each instance, and since when its pledges have been valid without interruption. */
internal class ReceivedPledges {
    private val held: HashMap<InstanceId, PledgeSeries> = HashMap()

    /** Stores a pledge unless it has expired or a later one was received; returns whether it begins a new series. */
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

/** The newest pledge of an uninterrupted series, and when the series began. */
internal class PledgeSeries(val pledge: ReceivedPledge, val sinceMillis: Long)
