/**
 * Shares of a limit on the requests to one endpoint, which all instances together must not exceed.
 *
 * No message is sent for a share. Divided by all instances, a low limit leaves each less than one request. It is
 * therefore lent to few instances, which all compute from the members that they know: the first ones in rendezvous
 * order of the endpoint, as many as can have two requests each. Lost members keep their rank while they are remembered,
 * so that a loss raises no share. Where the fleet is so small that two requests are left for everybody, the limit is
 * divided.
 *
 * Views that differ break the sum only if many instances of one data centre do not know each other. An instance has no
 * share in the first seconds after its start or after it has known no others, in which it gets to know them. A
 * partition inside a data centre is covered as long as lost members are remembered.
 */
package pistachiopass.limits

import kotlin.math.floor

/** Computes the shares of this instance. Confined to one thread. */
public class LentLimit internal constructor(
    private val nowMillis: () -> Long,
    private val assumedInstances: () -> Int,
    private val joiningSinceMillis: () -> Long,
) {
    private class Rule(val isDivided: Boolean, val sinceMillis: Long)

    private val rules = HashMap<Double, Rule>()

    /**
     * Returns how many requests this instance may send to [endpoint] in one window, if all instances together may send
     * [limit]. The result is 0 if [limit] is not a positive number.
     */
    public fun shareOf(endpoint: LentEndpoint, limit: Double): Int {
        val isSettled = nowMillis() - joiningSinceMillis() >= SETTLING_MILLIS
        if (!isSettled || limit.isNaN() || limit <= 0) return 0
        val divided = floor(limit / assumedInstances()).toInt()
        val isDivided = divided >= SHARE_MIN
        val lent = lentShareOf(endpoint, limit)
        return when {
            isChanging(limit, isDivided) -> minOf(divided, lent)
            isDivided -> divided
            else -> lent
        }
    }

    /** Is true shortly after the fleet has passed the size up to which [limit] is divided; others may not know yet. */
    private fun isChanging(limit: Double, isDivided: Boolean): Boolean {
        val known = rules[limit]
        if (known?.isDivided == isDivided) return nowMillis() - known.sinceMillis < SETTLING_MILLIS
        if (rules.size >= RULES_MAX) rules.clear()
        rules[limit] = Rule(isDivided, if (known == null) joiningSinceMillis() else nowMillis())
        return known != null
    }
}

/**
 * Returns the shares of an instance. [assumedInstances] returns by how many instances a limit is divided, more than
 * there are; [joiningSinceMillis] returns when this instance began to get to know the others.
 */
public fun lentLimitOf(
    nowMillis: () -> Long,
    assumedInstances: () -> Int,
    joiningSinceMillis: () -> Long,
): LentLimit = LentLimit(nowMillis, assumedInstances, joiningSinceMillis)

/** Returns the requests that are lent for [endpoint], of whose [limit] the holders of each part have a fraction. */
private fun lentShareOf(endpoint: LentEndpoint, limit: Double): Int {
    val requests = floor(limit * endpoint.part.fraction).toInt()
    val holders = minOf(maxOf(requests / SHARE_MIN, 1), endpoint.placers)
    if (endpoint.rank >= holders) return 0
    val share = requests / holders + if (endpoint.rank < requests % holders) 1 else 0
    return minOf(share, maxOf(floor(limit * HOLDER_FRACTION).toInt(), SHARE_MIN))
}

/** With a single request, the second of two that arrive together would have to go elsewhere. */
private const val SHARE_MIN: Int = 2

/** Keeps the sum within the limit if four instances that place on an endpoint do not know each other. */
private const val HOLDER_FRACTION: Double = 0.25

/** Time in which an instance of a fleet that starts as a whole gets to know the others of its data centre. */
private const val SETTLING_MILLIS: Long = 4_000

/** Limits of different services, in case the published ones change often. */
private const val RULES_MAX: Int = 64
