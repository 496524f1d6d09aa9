/**
 * Encoding of lease ids, which carry the data that other instances need about a lease.
 *
 * A request is sent to its endpoint under the id of its lease, and the endpoint's load report lists it by that id. The
 * id contains the reserved capacity and the pledges from which it is allocated, so every instance that reads a report
 * knows how much of each share is in use, even after the instance that granted the lease has gone.
 */
package pistachiopass.capacity

import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId

/** The part of a lease that is allocated from the pledge of [pledger]. */
public data class PledgeAllocation(val pledger: InstanceId, val amount: Capacity)

/** The fields that a lease id encodes. */
public data class LeaseIdFields(
    val owner: InstanceId,
    /** The last characters of the owner's start id, so that two incarnations never issue the same lease id. */
    val startIdSuffix: String,
    val sequence: Long,
    /** Time until the request's deadline when the lease was granted. */
    val remainingMillis: Long,
    val allocations: List<PledgeAllocation>,
) {
    /** The total capacity that the lease reserves. */
    val reserved: Capacity get() = allocations.fold(Capacity.NONE) { sum, allocation -> sum + allocation.amount }

    /** Returns the lease id, in characters that need no escaping in URL paths, headers and log lines. */
    public fun toLeaseId(): RequestId {
        val head = listOf(owner.value, startIdSuffix, sequence.toText(), remainingMillis.toText())
        return RequestId((head + allocations.map { it.toText() }).joinToString(FIELD_SEPARATOR))
    }
}

/** Returns the fields that this id encodes, or null if it is not a lease id. */
public fun RequestId.leaseIdFieldsOrNull(): LeaseIdFields? {
    val fields = value.split(FIELD_SEPARATOR)
    val sequence = fields.getOrNull(SEQUENCE_FIELD)?.toLongOrNull(RADIX)
    val remainingMillis = fields.getOrNull(REMAINING_FIELD)?.toLongOrNull(RADIX)
    val allocations = fields.drop(HEAD_FIELDS).mapNotNull { it.allocationOrNull() }
    val areAllocationsValid = allocations.isNotEmpty() && allocations.size == fields.size - HEAD_FIELDS
    return if (sequence == null || remainingMillis == null || !areAllocationsValid) {
        null
    } else {
        LeaseIdFields(InstanceId(fields[0]), fields[1], sequence, remainingMillis, allocations)
    }
}

private fun String.allocationOrNull(): PledgeAllocation? {
    val list = split(PART_SEPARATOR)
    val tokens = list.getOrNull(1)?.toLongOrNull(RADIX)?.takeIf { it >= 0 }
    val slots = list.getOrNull(2)?.toIntOrNull(RADIX)?.takeIf { it >= 0 }
    return if (tokens == null || slots == null) null else PledgeAllocation(InstanceId(list[0]), Capacity(tokens, slots))
}

private fun PledgeAllocation.toText(): String =
    listOf(pledger.value, amount.tokens.toText(), amount.slots.toLong().toText()).joinToString(PART_SEPARATOR)

private fun Long.toText(): String = toString(RADIX)

private const val FIELD_SEPARATOR: String = ":"
private const val PART_SEPARATOR: String = "@"
private const val RADIX: Int = 36
private const val HEAD_FIELDS: Int = 4
private const val SEQUENCE_FIELD: Int = 2
private const val REMAINING_FIELD: Int = 3
