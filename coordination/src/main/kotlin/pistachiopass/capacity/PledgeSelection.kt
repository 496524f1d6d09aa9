/** Selection of the pledges from which a lease is allocated. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Allocates one lease from the [usable] pledges, where [usage] gives the capacity that is already in use. */
internal class PledgeSelection(
    private val config: AccountConfig,
    private val warmUpFraction: Double,
    private val usage: Usage,
    usable: List<ReceivedPledge>,
) {
    private val pledged: Map<InstanceId, Capacity> = usable.associate { it.pledger to it.share.at(warmUpFraction) }
    private val sources: List<Source> =
        usable.map { Source(it, freeCapacityOf(it)) }.sortedByDescending { it.free.tokens }

    /**
     * Returns the allocations, taken from as few pledges as possible, or a refusal if all pledges together have too
     * little.
     */
    fun allocate(needed: Capacity): AllocationOutcome {
        val free = sources.fold(Capacity.NONE) { sum, source -> sum + source.free } - usage.excessOver(::entitlementOf)
        return if (free.covers(needed)) allocateParts(needed) else AllocationOutcome.Refused(LeaseRefusal.PLEDGES_SHORT)
    }

    private fun freeCapacityOf(pledge: ReceivedPledge): Capacity =
        (pledge.share.at(warmUpFraction) - usage.allocatedFrom(pledge.pledger)).coerceAtLeastZero()

    private fun entitlementOf(pledger: InstanceId): Capacity =
        pledged[pledger] ?: config.shares[pledger]?.at(warmUpFraction) ?: Capacity.NONE

    private fun allocateParts(needed: Capacity): AllocationOutcome {
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

/** Whether a lease can be allocated from the pledges. */
internal sealed interface AllocationOutcome {
    /** The lease can be allocated; [expiresAtMillis] is the earliest expiry of the pledges. */
    class Allocated(val allocations: List<PledgeAllocation>, val expiresAtMillis: Long) : AllocationOutcome

    /** The lease cannot be allocated. */
    class Refused(val reason: LeaseRefusal) : AllocationOutcome
}
