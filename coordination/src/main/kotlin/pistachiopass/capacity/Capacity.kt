/** Amounts of what an endpoint has to give: KV memory and request slots. */
package pistachiopass.capacity

import kotlinx.serialization.Serializable
import pistachiopass.model.Endpoint
import kotlin.math.floor

/** Holds an amount of KV memory in tokens and of request slots. */
@Serializable
public data class Capacity(val tokens: Long, val slots: Int) {
    /** Returns the sum. */
    public operator fun plus(other: Capacity): Capacity = Capacity(tokens + other.tokens, slots + other.slots)

    /** Returns the difference; either part may be negative. */
    public operator fun minus(other: Capacity): Capacity = Capacity(tokens - other.tokens, slots - other.slots)

    /** Returns whether [other] fits in, part by part. */
    public fun covers(other: Capacity): Boolean = tokens >= other.tokens && slots >= other.slots

    /** Returns this with negative parts set to zero. */
    public fun coerceAtLeastZero(): Capacity = Capacity(tokens.coerceAtLeast(0), slots.coerceAtLeast(0))

    public companion object {
        /** Nothing at all. */
        public val NONE: Capacity = Capacity(tokens = 0, slots = 0)
    }
}

/** Holds what counts while an endpoint is warm and what counts during its cold start. */
@Serializable
public data class Share(val warm: Capacity, val cold: Capacity) {
    /** Whether there is nothing in it. */
    public val isEmpty: Boolean get() = warm == Capacity.NONE && cold == Capacity.NONE

    /** Returns the amount at [warmUpFraction] from 0.0, cold, to 1.0, warm; rounded down. */
    public fun at(warmUpFraction: Double): Capacity = Capacity(
        cold.tokens + floor((warm.tokens - cold.tokens) * warmUpFraction).toLong(),
        cold.slots + floor((warm.slots - cold.slots) * warmUpFraction).toInt(),
    )

    public companion object {
        /** Nothing at all. */
        public val NONE: Share = Share(Capacity.NONE, Capacity.NONE)
    }
}

/** The published budget of this endpoint, warm and cold; the cold limit never exceeds the budget. */
public val Endpoint.budget: Share
    get() = Share(
        Capacity(budgetTokens, slots),
        Capacity(minOf(coldBudgetTokens, budgetTokens), minOf(coldSlots, slots)),
    )

/** Returns the smaller of both, part by part. */
public fun minOf(a: Share, b: Share): Share = Share(minOf(a.warm, b.warm), minOf(a.cold, b.cold))

private fun minOf(a: Capacity, b: Capacity): Capacity = Capacity(minOf(a.tokens, b.tokens), minOf(a.slots, b.slots))
