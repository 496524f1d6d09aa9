/** The choice of the pledges that a lease is allocated from. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Allocates one lease from [usable] pledges, of which [usage] says what is in use already. */
internal class LeaseAllocation(
    private val config: AccountConfig,
    private val warmUpFraction: Double,
    private val usage: Usage,
    usable: List<ReceivedPledge>,
) {
    private val pledged: Map<InstanceId, Capacity> = usable.associate { it.pledger to it.share.at(warmUpFraction) }
    private val sources: List<Source> = usable.map { Source(it, freeCapacityOf(it)) }.sortedByDescending { it.free.tokens }

    /** Returns the allocations, from as few pledges as possible, or the refusal when all of them leave too little. */
    fun allocate(needed: Capacity): AllocationOutcome {
        val free = sources.fold(Capacity.NONE) { sum, source -> sum + source.free } - usage.excessOver(::entitlementOf)
        return if (free.covers(needed)) allocateFromSources(needed) else AllocationOutcome.Refused(LeaseRefusal.PLEDGES_SHORT)
    }

    private fun freeCapacityOf(pledge: ReceivedPledge): Capacity =
        (pledge.share.at(warmUpFraction) - usage.allocatedFrom(pledge.pledger)).coerceAtLeastZero()

    private fun entitlementOf(pledger: InstanceId): Capacity =
        pledged[pledger] ?: config.shares[pledger]?.at(warmUpFraction) ?: Capacity.NONE

    private fun allocateFromSources(needed: Capacity): AllocationOutcome {
        var left = needed
        var expiresAtMillis = Long.MAX_VALUE
        val allocations = ArrayList<PledgeAllocation>()
        for (source in sources) {
            val part = Capacity(minOf(left.tokens, source.free.tokens), minOf(left.slots, source.free.slots))
            if (part == Capacity.NONE) continue
            left -= part
            allocations += PledgeAllocation(source.pledge.pledger, part)
            expiresAtMillis = minOf(expiresAtMillis, source.pledge.expiresAtMillis)
        }
        return AllocationOutcome.Allocated(allocations, expiresAtMillis)
    }

    private class Source(val pledge: ReceivedPledge, val free: Capacity)
}

/** Says whether a lease can be allocated from the pledges. */
internal sealed interface AllocationOutcome {
    /** The lease can be allocated; the first of the pledges expires at [expiresAtMillis]. */
    class Allocated(val allocations: List<PledgeAllocation>, val expiresAtMillis: Long) : AllocationOutcome

    /** There is no lease. */
    class Refused(val reason: LeaseRefusal) : AllocationOutcome
}
