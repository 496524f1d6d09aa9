/** One lease in the ledger of the owner that granted it. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** Tells how far a lease has come; it counts against the endpoint in every state. */
internal enum class LeaseState {
    /** Its holder renews it. */
    ACTIVE,

    /** Its holder has not renewed it in time. */
    EXPIRED,

    /** Its holder gave it back without knowing what the endpoint holds. */
    RELEASED,
}

/** Holds a lease; all times are readings of the owner's clock. */
internal class Lease(
    val id: RequestId,
    val holder: InstanceIncarnation,
    val idFields: LeaseIdFields,
    grantedAtMillis: Long,
    val sendUntilMillis: Long,
) {
    private var absences: Int = 0
    private var changedAtMillis: Long = grantedAtMillis

    /** Reading at which the request's deadline passes. */
    val deadlineMillis: Long = grantedAtMillis + idFields.remainingMillis

    var renewedAtMillis: Long = grantedAtMillis
        private set

    var state: LeaseState = LeaseState.ACTIVE
        private set

    /** Whether the holder's process is known to have ended. */
    var isHolderGone: Boolean = false
        private set

    fun renew(nowMillis: Long) {
        if (state == LeaseState.RELEASED || isHolderGone) return
        renewedAtMillis = nowMillis
        enter(LeaseState.ACTIVE, nowMillis)
    }

    fun expire(nowMillis: Long): Unit = enter(LeaseState.EXPIRED, nowMillis)

    /** Returns whether its holder has not renewed it in time. */
    fun isOverdue(nowMillis: Long, times: CapacityTimes): Boolean =
        state == LeaseState.ACTIVE && nowMillis - renewedAtMillis > times.leaseMillis

    fun release(nowMillis: Long): Unit = enter(LeaseState.RELEASED, nowMillis)

    fun holderEnded(nowMillis: Long) {
        isHolderGone = true
        if (state == LeaseState.ACTIVE) expire(nowMillis)
    }

    /** Returns the reading from which on no request under this lease can still reach the endpoint. */
    fun lastArrivalMillis(times: CapacityTimes): Long {
        val isReleased = state == LeaseState.RELEASED
        val lastSendMillis = if (isReleased) changedAtMillis else maxOf(changedAtMillis, sendUntilMillis)
        return lastSendMillis + times.inFlightMillis
    }

    /** Returns whether the request should be cancelled, since nobody waits for its answer. */
    fun isOrphan(nowMillis: Long, times: CapacityTimes): Boolean = when (state) {
        LeaseState.ACTIVE -> false
        LeaseState.RELEASED -> nowMillis >= lastArrivalMillis(times)
        LeaseState.EXPIRED -> nowMillis >= lastArrivalMillis(times) && (isHolderGone || nowMillis >= deadlineMillis)
    }

    /** Counts a report that does not list the request and returns whether there were enough of them. */
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

private const val ABSENCES_TO_END: Int = 2
