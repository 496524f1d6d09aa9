/**
 * Lease ids, which carry what an endpoint's load report must tell of a request.
 *
 * An endpoint lists its requests by the id under which they were sent. Since that id holds the reserved capacity and
 * the pledges that it is allocated from, every instance that reads a report knows which part of whose share is in use,
 * also when the instance that granted the lease is gone.
 */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId

/** A part of a lease that is taken from the pledge of [pledger]. */
public data class PledgeAllocation(val pledger: InstanceId, val amount: Capacity)

/** Describes a lease as far as its id tells. */
public data class LeaseIdFields(
    val owner: InstanceId,
    /** Digits of the owner's start id, so that two incarnations never give the same id. */
    val startIdSuffix: String,
    val sequence: Long,
    /** Time that the request had left when the lease was granted. */
    val remainingMillis: Long,
    val allocations: List<PledgeAllocation>,
) {
    /** The whole reserved amount. */
    val reserved: Capacity get() = allocations.fold(Capacity.NONE) { sum, allocation -> sum + allocation.amount }

    /** Returns the id; its characters need no escape in paths, headers and log lines. */
    public fun toLeaseId(): RequestId {
        val head = listOf(owner.value, startIdSuffix, sequence.toText(), remainingMillis.toText())
        return RequestId((head + allocations.map { it.toText() }).joinToString(FIELD))
    }
}

/** Returns what the id tells, or null when it is no lease id. */
public fun RequestId.leaseIdFieldsOrNull(): LeaseIdFields? {
    val fields = value.split(FIELD)
    val sequence = fields.getOrNull(SEQUENCE_FIELD)?.toLongOrNull(RADIX)
    val remainingMillis = fields.getOrNull(REMAINING_FIELD)?.toLongOrNull(RADIX)
    val allocations = fields.drop(HEAD_FIELDS).mapNotNull { it.allocationOrNull() }
    val isWhole = allocations.isNotEmpty() && allocations.size == fields.size - HEAD_FIELDS
    return if (sequence == null || remainingMillis == null || !isWhole) {
        null
    } else {
        LeaseIdFields(InstanceId(fields[0]), fields[1], sequence, remainingMillis, allocations)
    }
}

private fun String.allocationOrNull(): PledgeAllocation? {
    val parts = split(PART)
    val tokens = parts.getOrNull(1)?.toLongOrNull(RADIX)?.takeIf { it >= 0 }
    val slots = parts.getOrNull(2)?.toIntOrNull(RADIX)?.takeIf { it >= 0 }
    return if (tokens == null || slots == null) null else PledgeAllocation(InstanceId(parts[0]), Capacity(tokens, slots))
}

private fun PledgeAllocation.toText(): String =
    listOf(pledger.value, amount.tokens.toText(), amount.slots.toLong().toText()).joinToString(PART)

private fun Long.toText(): String = toString(RADIX)

private const val FIELD: String = ":"
private const val PART: String = "@"
private const val RADIX: Int = 36
private const val HEAD_FIELDS: Int = 4
private const val SEQUENCE_FIELD: Int = 2
private const val REMAINING_FIELD: Int = 3
