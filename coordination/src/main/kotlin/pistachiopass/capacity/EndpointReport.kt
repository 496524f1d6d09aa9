/** Load reports of endpoints in the form in which the accounts read them. */
package pistachiopass.capacity

import pistachiopass.model.RequestId
import pistachiopass.model.StartId

/** One request that an endpoint holds. */
public data class HeldRequest(
    val id: RequestId,
    val tokens: Long,
    /** Whether it can still grow; a finished one that is kept for resumption cannot. */
    val isRunning: Boolean = true,
)

/** What an endpoint said of itself. */
public data class EndpointReport(
    val startId: StartId,
    /** Whether the endpoint itself says that it is cold. */
    val cold: Boolean,
    val usedTokens: Long,
    val completedTokens: Long,
    val requests: List<HeldRequest>,
    /** The latest reading of the reader's clock at which the state can not have been older than reported. */
    val takenAtMillis: Long,
) {
    /** Returns whether the endpoint showed any change from [earlier] to this. */
    internal fun differsFrom(earlier: EndpointReport): Boolean =
        copy(takenAtMillis = earlier.takenAtMillis) != earlier
}

/** Part of the endpoint that the request holds or may come to hold, and whose pledges it is allocated from. */
internal class ReportedUse(val id: RequestId, val amount: Capacity, val allocations: List<PledgeAllocation>) {
    /** Part that no pledge covers. */
    val uncovered: Capacity =
        (amount - allocations.fold(Capacity.NONE) { sum, allocation -> sum + allocation.amount }).coerceAtLeastZero()
}

/** Returns what this request counts for: its reservation while it runs, what it holds afterwards. */
internal fun HeldRequest.toReportedUse(): ReportedUse {
    val idFields = id.leaseIdFieldsOrNull()
    val reserved = idFields?.reserved ?: Capacity.NONE
    val amount = when {
        isRunning -> Capacity(maxOf(tokens, reserved.tokens), maxOf(1, reserved.slots))
        else -> Capacity(tokens, slots = 0)
    }
    return ReportedUse(id, amount, idFields?.allocations.orEmpty().limitedTo(amount))
}

/** Returns these allocations, cut in their order where their sum exceeds [amount]. */
private fun List<PledgeAllocation>.limitedTo(amount: Capacity): List<PledgeAllocation> {
    var left = amount
    return map { allocation ->
        val part = Capacity(minOf(allocation.amount.tokens, left.tokens), minOf(allocation.amount.slots, left.slots))
        left -= part
        PledgeAllocation(allocation.pledger, part)
    }
}
