/** Sums of what is in use on one endpoint. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Adds up uses, in all and by the pledger that they are allocated from. */
internal class Usage {
    private val allocated: HashMap<InstanceId, Capacity> = HashMap()
    private var uncovered: Capacity = Capacity.NONE

    /** Everything that is in use. */
    var total: Capacity = Capacity.NONE
        private set

    /** Adds a use of [amount], of which [allocations] says where it comes from. */
    fun add(amount: Capacity, allocations: List<PledgeAllocation>) {
        total += amount
        var open = amount
        for (allocation in allocations) {
            allocated.merge(allocation.pledger, allocation.amount, Capacity::plus)
            open -= allocation.amount
        }
        uncovered += open.coerceAtLeastZero()
    }

    /** Returns what is allocated from the share of [pledger]. */
    fun allocatedFrom(pledger: InstanceId): Capacity = allocated[pledger] ?: Capacity.NONE

    /**
     * Returns what exceeds the shares that [entitled] gives: use allocated from larger, earlier shares or from none.
     *
     * Every owner takes the whole excess off what it may grant, so that all of them together stay within the budget.
     */
    fun excessOver(entitled: (InstanceId) -> Capacity): Capacity =
        allocated.entries.fold(uncovered) { sum, (pledger, amount) ->
            sum + (amount - entitled(pledger)).coerceAtLeastZero()
        }
}
