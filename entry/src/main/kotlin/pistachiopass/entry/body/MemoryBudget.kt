/** Limit of the memory that the instance holds for callers and endpoints. */
package pistachiopass.entry.body

import java.util.concurrent.atomic.AtomicLong

/** Grants reservations of memory up to [limitBytes] in total; safe for concurrent use. */
public class MemoryBudget internal constructor(public val limitBytes: Long) {
    private val held: AtomicLong = AtomicLong()

    /** Bytes reserved at the moment. */
    public val heldBytes: Long get() = held.get()

    /** Reserves [bytes] and returns true, or returns false if the limit would be exceeded. */
    public fun tryReserve(bytes: Long): Boolean {
        require(bytes >= 0) { "bytes must not be negative, was $bytes" }
        val before = held.getAndUpdate { if (it + bytes <= limitBytes) it + bytes else it }
        return before + bytes <= limitBytes
    }

    /** Releases [bytes] that were reserved. */
    public fun release(bytes: Long) {
        val after = held.addAndGet(-bytes)
        check(after >= 0) { "released more bytes than were reserved: $after bytes remain" }
    }
}

/** Returns a budget of [limitBytes] with nothing reserved. */
public fun memoryBudgetOf(limitBytes: Long): MemoryBudget {
    require(limitBytes > 0) { "limitBytes must be positive, was $limitBytes" }
    return MemoryBudget(limitBytes)
}
