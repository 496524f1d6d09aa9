/** Amounts of endpoint capacity: KV cache memory and request slots. */
package pistachiopass.capacity

import kotlinx.serialization.Serializable
import pistachiopass.model.Endpoint
import kotlin.math.floor

/** An amount of KV cache memory, in tokens, and a number of request slots. */
@Serializable
public data class Capacity(val tokens: Long, val slots: Int) {
    /** Returns the sum, component by component. */
    public operator fun plus(other: Capacity): Capacity = Capacity(tokens + other.tokens, slots + other.slots)

    /** Returns the difference, component by component; a component may be negative. */
    public operator fun minus(other: Capacity): Capacity = Capacity(tokens - other.tokens, slots - other.slots)

    /** Returns whether no component of [other] exceeds that of this. */
    public fun covers(other: Capacity): Boolean = tokens >= other.tokens && slots >= other.slots

    /** Returns this with negative components set to zero. */
    public fun coerceAtLeastZero(): Capacity = Capacity(tokens.coerceAtLeast(0), slots.coerceAtLeast(0))

    public companion object {
        /** No tokens and no slots. */
        public val NONE: Capacity = Capacity(tokens = 0, slots = 0)
    }
}

/** Part of an endpoint's budget: [warm] applies to a warm endpoint, [cold] at the beginning of its cold start. */
@Serializable
public data class Share(val warm: Capacity, val cold: Capacity) {
    /** Whether the share grants no capacity, neither warm nor cold. */
    public val isEmpty: Boolean get() = warm == Capacity.NONE && cold == Capacity.NONE

    /** Returns the capacity at [warmUpFraction], interpolated from 0.0 (cold) to 1.0 (warm) and rounded down. */
    public fun at(warmUpFraction: Double): Capacity = Capacity(
        cold.tokens + floor((warm.tokens - cold.tokens) * warmUpFraction).toLong(),
        cold.slots + floor((warm.slots - cold.slots) * warmUpFraction).toInt(),
    )

    public companion object {
        /** No capacity, neither warm nor cold. */
        public val NONE: Share = Share(Capacity.NONE, Capacity.NONE)
    }
}

/** The published budget of this endpoint; the cold limit never exceeds the warm one. */
public val Endpoint.budget: Share
    get() = Share(
        Capacity(budgetTokens, slots),
        Capacity(minOf(coldBudgetTokens, budgetTokens), minOf(coldSlots, slots)),
    )

/** Returns the minimum of both shares, component by component. */
public fun minOf(a: Share, b: Share): Share = Share(minOf(a.warm, b.warm), minOf(a.cold, b.cold))

private fun minOf(a: Capacity, b: Capacity): Capacity = Capacity(minOf(a.tokens, b.tokens), minOf(a.slots, b.slots))
