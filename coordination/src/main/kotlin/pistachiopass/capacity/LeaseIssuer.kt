/** Creation of leases with ids that no other incarnation of any instance issues. */
package pistachiopass.capacity

/** Creates the leases of one lease table; guarded by the lock of the table. */
internal class LeaseIssuer(private val self: InstanceIncarnation, private val times: CapacityTimes) {
    private val startIdSuffix: String = self.startId.value.takeLast(START_ID_SUFFIX_DIGITS)
    private var sequence: Long = 0

    /** Returns a lease whose request may be sent until the first of its pledges expires or the send window ends. */
    fun issue(
        holder: InstanceIncarnation,
        request: LeaseRequest,
        allocated: AllocationOutcome.Allocated,
        nowMillis: Long,
    ): Lease {
        val idFields =
            LeaseIdFields(self.instance, startIdSuffix, sequence++, request.remainingMillis, allocated.allocations)
        val sendUntilMillis = minOf(allocated.expiresAtMillis, nowMillis + times.sendWindowMillis)
        return Lease(idFields.toLeaseId(), holder, idFields, nowMillis, sendUntilMillis)
    }
}

private const val START_ID_SUFFIX_DIGITS: Int = 12
