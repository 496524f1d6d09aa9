/** The choice of the pledges that a lease is drawn from. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Draws one lease from [usable] pledges, of which [usage] says what is in use already. */
internal class PledgeDrawing(
    private val duty: EndpointDuty,
    private val warmth: Double,
    private val usage: Usage,
    usable: List<ArrivedPledge>,
) {
    private val pledged: Map<InstanceId, Capacity> = usable.associate { it.pledger to it.share.at(warmth) }
    private val rooms: List<Room> = usable.map { Room(it, roomIn(it)) }.sortedByDescending { it.free.tokens }

    /** Returns the draws, from as few pledges as possible, or the refusal when all of them leave too little. */
    fun draw(needed: Capacity): DrawOutcome {
        val free = rooms.fold(Capacity.NONE) { sum, room -> sum + room.free } - usage.excessOver(::entitlementOf)
        return if (free.covers(needed)) drawFromRooms(needed) else DrawOutcome.Refused(LeaseRefusal.PLEDGES_SHORT)
    }

    private fun roomIn(pledge: ArrivedPledge): Capacity =
        (pledge.share.at(warmth) - usage.drawnFrom(pledge.pledger)).coerceAtLeastZero()

    private fun entitlementOf(pledger: InstanceId): Capacity =
        pledged[pledger] ?: duty.shares[pledger]?.at(warmth) ?: Capacity.NONE

    private fun drawFromRooms(needed: Capacity): DrawOutcome {
        var left = needed
        var expiresAtMillis = Long.MAX_VALUE
        val draws = ArrayList<Draw>()
        for (room in rooms) {
            val part = Capacity(minOf(left.tokens, room.free.tokens), minOf(left.slots, room.free.slots))
            if (part == Capacity.NONE) continue
            left -= part
            draws += Draw(room.pledge.pledger, part)
            expiresAtMillis = minOf(expiresAtMillis, room.pledge.expiresAtMillis)
        }
        return DrawOutcome.Drawn(draws, expiresAtMillis)
    }

    private class Room(val pledge: ArrivedPledge, val free: Capacity)
}

/** Says whether a lease can be drawn from the pledges. */
internal sealed interface DrawOutcome {
    /** The lease can be drawn; the first of the pledges expires at [expiresAtMillis]. */
    class Drawn(val draws: List<Draw>, val expiresAtMillis: Long) : DrawOutcome

    /** There is no lease. */
    class Refused(val reason: LeaseRefusal) : DrawOutcome
}
