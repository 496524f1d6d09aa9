/** Sums of what is in use on one endpoint. */
package pistachiopass.capacity

import pistachiopass.model.InstanceId

/** Adds up uses, in all and by the pledger that they are drawn from. */
internal class Usage {
    private val drawn: HashMap<InstanceId, Capacity> = HashMap()
    private var uncovered: Capacity = Capacity.NONE

    /** Everything that is in use. */
    var total: Capacity = Capacity.NONE
        private set

    /** Adds a use of [amount], of which [draws] says where it comes from. */
    fun add(amount: Capacity, draws: List<Draw>) {
        total += amount
        var open = amount
        for (draw in draws) {
            drawn.merge(draw.pledger, draw.amount, Capacity::plus)
            open -= draw.amount
        }
        uncovered += open.coerceAtLeastZero()
    }

    /** Returns what is drawn from the share of [pledger]. */
    fun drawnFrom(pledger: InstanceId): Capacity = drawn[pledger] ?: Capacity.NONE

    /**
     * Returns what exceeds the shares that [entitled] gives: use drawn from larger, earlier shares or from none.
     *
     * Every owner takes the whole excess off what it may grant, so that all of them together stay within the budget.
     */
    fun excessOver(entitled: (InstanceId) -> Capacity): Capacity =
        drawn.entries.fold(uncovered) { sum, (pledger, amount) ->
            sum + (amount - entitled(pledger)).coerceAtLeastZero()
        }
}
