/** Load reports of endpoints, as the endpoint accounts read them. */
package pistachiopass.capacity

import pistachiopass.model.RequestId
import pistachiopass.model.StartId

/** A request that an endpoint holds, running or finished. */
public data class HeldRequest(
    val id: RequestId,
    val tokens: Long,
    /** Whether its memory can still grow; a finished request that is kept for stream resumption does not grow. */
    val isRunning: Boolean = true,
)

/** The state that an endpoint reports. */
public data class EndpointReport(
    val startId: StartId,
    /** Whether the endpoint reports itself as cold. */
    val cold: Boolean,
    val usedTokens: Long,
    val completedTokens: Long,
    val requests: List<HeldRequest>,
    /**
     * Reading of the receiver's clock that is certainly no later than the moment at which the endpoint took the report.
     */
    val takenAtMillis: Long,
) {
    /** Returns whether the reported state, apart from its time, differs from [earlier]. */
    internal fun differsFrom(earlier: EndpointReport): Boolean =
        copy(takenAtMillis = earlier.takenAtMillis) != earlier
}

/** Capacity that a reported request holds or may come to hold, and the pledges from which it is allocated. */
internal class ReportedUse(val id: RequestId, val amount: Capacity, val allocations: List<PledgeAllocation>) {
    /** The part that is allocated from no pledge. */
    val uncovered: Capacity =
        (amount - allocations.fold(Capacity.NONE) { sum, allocation -> sum + allocation.amount }).coerceAtLeastZero()
}

/** Returns the use to count for this request: at least its reservation while it runs, what it holds afterwards. */
internal fun HeldRequest.toReportedUse(): ReportedUse {
    val idFields = id.leaseIdFieldsOrNull()
    val reserved = idFields?.reserved ?: Capacity.NONE
    val amount = when {
        isRunning -> Capacity(maxOf(tokens, reserved.tokens), maxOf(1, reserved.slots))
        else -> Capacity(tokens, slots = 0)
    }
    return ReportedUse(id, amount, idFields?.allocations.orEmpty().limitedTo(amount))
}

/** Returns these allocations, reduced from the last to the first so that their sum does not exceed [amount]. */
private fun List<PledgeAllocation>.limitedTo(amount: Capacity): List<PledgeAllocation> {
    var left = amount
    return map { allocation ->
        val part = Capacity(minOf(allocation.amount.tokens, left.tokens), minOf(allocation.amount.slots, left.slots))
        left -= part
        PledgeAllocation(allocation.pledger, part)
    }
}
