/** Number of instances by which limits that all instances share are divided. */
package pistachiopass.gateway.forward

import kotlin.math.ceil

/**
 * Overestimates the number of instances, so that the shares that all of them use add up to less than the limit although
 * each counts for itself.
 *
 * @param countedInstances the present estimate of the membership
 */
internal class SharedLimits(private val nowMillis: () -> Long, private val countedInstances: () -> Int) {
    private val startedMillis = nowMillis()

    /** Returns the number to divide by; very high during the first seconds, in which the fleet is not yet counted. */
    fun assumedInstances(): Int {
        if (nowMillis() - startedMillis < COUNTING_MILLIS) return ASSUMED_AT_START
        return maxOf(ceil(countedInstances() * ASSUMED_FACTOR).toInt(), ASSUMED_MIN)
    }
}

/** Time in which an instance of a fleet that starts as a whole has counted most of the others. */
private const val COUNTING_MILLIS: Long = 4_000

/** More than any deployment has; with it, no share reaches a whole request. */
private const val ASSUMED_AT_START: Int = 1_024

/** Allowance for instances that have not been counted yet. */
private const val ASSUMED_FACTOR: Double = 1.5
private const val ASSUMED_MIN: Int = 12
