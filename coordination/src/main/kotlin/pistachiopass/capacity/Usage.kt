/** Sums of the capacity in use on one endpoint. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Adds up capacity in use, in total and by the pledger from whose share it is allocated. */
internal class Usage {
    private val allocated: HashMap<InstanceId, Capacity> = HashMap()
    private var uncovered: Capacity = Capacity.NONE

    /** The total capacity in use. */
    var total: Capacity = Capacity.NONE
        private set

    /** Adds a use of [amount]; [allocations] are the parts of it that come from pledges. */
    fun add(amount: Capacity, allocations: List<PledgeAllocation>) {
        total += amount
        var open = amount
        for (allocation in allocations) {
            allocated.merge(allocation.pledger, allocation.amount, Capacity::plus)
            open -= allocation.amount
        }
        uncovered += open.coerceAtLeastZero()
    }

    /** Returns the capacity that is allocated from the share of [pledger]. */
    fun allocatedFrom(pledger: InstanceId): Capacity = allocated[pledger] ?: Capacity.NONE

    /**
     * Returns the use beyond the shares that [entitled] gives: what was allocated from earlier, larger shares or from
     * none.
     *
     * Every owner subtracts the whole excess from what it may grant, so that all owners together stay within the
     * budget.
     */
    fun excessOver(entitled: (InstanceId) -> Capacity): Capacity =
        allocated.entries.fold(uncovered) { sum, (pledger, amount) ->
            sum + (amount - entitled(pledger)).coerceAtLeastZero()
        }
}
