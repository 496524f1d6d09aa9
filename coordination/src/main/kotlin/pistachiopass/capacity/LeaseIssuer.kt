/** Issues leases under ids that no other incarnation of any instance gives. */
package pistachiopass.capacity

/** Issues the leases of one table; guarded by the table. */
internal class LeaseIssuer(private val self: InstanceIncarnation, private val times: CapacityTimes) {
    private val startIdSuffix: String = self.startId.value.takeLast(START_ID_SUFFIX_DIGITS)
    private var sequence: Long = 0

    /** Returns a lease that may be sent under until the first of its pledges expires, and for a short time at most. */
    fun issue(holder: InstanceIncarnation, request: LeaseRequest, allocated: AllocationOutcome.Allocated, nowMillis: Long): Lease {
        val idFields = LeaseIdFields(self.instance, startIdSuffix, sequence++, request.remainingMillis, allocated.allocations)
        val sendUntilMillis = minOf(allocated.expiresAtMillis, nowMillis + times.sendWindowMillis)
        return Lease(idFields.toLeaseId(), holder, idFields, nowMillis, sendUntilMillis)
    }
}

private const val START_ID_SUFFIX_DIGITS: Int = 12
