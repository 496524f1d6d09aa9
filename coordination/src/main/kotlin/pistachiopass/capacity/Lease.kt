/** A granted lease, as the lease table of its owner keeps it. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** State of a lease; its capacity counts as used in every state. */
internal enum class LeaseState {
    /** Its holder renews it. */
    ACTIVE,

    /** Its holder has not renewed it in time. */
    EXPIRED,

    /** Its holder released it without knowing what the endpoint still holds for the request. */
    RELEASED,
}

/** A granted lease; all times are readings of the owner's clock. */
internal class Lease(
    val id: RequestId,
    val holder: InstanceIncarnation,
    val idFields: LeaseIdFields,
    grantedAtMillis: Long,
    val sendUntilMillis: Long,
) {
    private var absences: Int = 0
    private var changedAtMillis: Long = grantedAtMillis

    val deadlineMillis: Long = grantedAtMillis + idFields.remainingMillis

    var renewedAtMillis: Long = grantedAtMillis
        private set

    var state: LeaseState = LeaseState.ACTIVE
        private set

    /** Whether the holder's process is known to have been replaced by a newer incarnation. */
    var isHolderGone: Boolean = false
        private set

    fun renew(nowMillis: Long) {
        if (state == LeaseState.RELEASED || isHolderGone) return
        renewedAtMillis = nowMillis
        enter(LeaseState.ACTIVE, nowMillis)
    }

    fun expire(nowMillis: Long): Unit = enter(LeaseState.EXPIRED, nowMillis)

    /** Returns whether the holder has failed to renew the lease in time. */
    fun isOverdue(nowMillis: Long, times: CapacityTimes): Boolean =
        state == LeaseState.ACTIVE && nowMillis - renewedAtMillis > times.leaseMillis

    fun release(nowMillis: Long): Unit = enter(LeaseState.RELEASED, nowMillis)

    fun holderEnded(nowMillis: Long) {
        isHolderGone = true
        if (state == LeaseState.ACTIVE) expire(nowMillis)
    }

    /** Returns the time after which no request under this lease can reach the endpoint any more. */
    fun lastArrivalMillis(times: CapacityTimes): Long {
        val isReleased = state == LeaseState.RELEASED
        val lastSendMillis = if (isReleased) changedAtMillis else maxOf(changedAtMillis, sendUntilMillis)
        return lastSendMillis + times.inFlightMillis
    }

    /** Returns whether the request should be cancelled, since no one waits for its response. */
    fun isOrphan(nowMillis: Long, times: CapacityTimes): Boolean = when (state) {
        LeaseState.ACTIVE -> false
        LeaseState.RELEASED -> nowMillis >= lastArrivalMillis(times)
        LeaseState.EXPIRED -> nowMillis >= lastArrivalMillis(times) && (isHolderGone || nowMillis >= deadlineMillis)
    }

    /** Counts a load report that does not list the request and returns whether enough of them came in a row. */
    fun recordAbsence(): Boolean = ++absences >= ABSENCES_TO_END

    fun resetAbsences() {
        absences = 0
    }

    private fun enter(next: LeaseState, nowMillis: Long) {
        if (state == next) return
        state = next
        changedAtMillis = nowMillis
        absences = 0
    }
}

/** Number of consecutive load reports. */
private const val ABSENCES_TO_END: Int = 2
