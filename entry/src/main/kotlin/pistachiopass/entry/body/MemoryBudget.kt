/** Accounting of the memory that the instance holds for callers and endpoints. */
package pistachiopass.entry.body

import java.util.concurrent.atomic.AtomicLong

/** Counts held bytes against a total; safe for use by many coroutines. */
public class MemoryBudget internal constructor(public val limitBytes: Long) {
    private val held: AtomicLong = AtomicLong()

    /** Bytes held at the moment. */
    public val heldBytes: Long get() = held.get()

    /** Reserves [bytes] and returns true, or returns false when the total would be exceeded. */
    public fun tryReserve(bytes: Long): Boolean {
        require(bytes >= 0) { "bytes must not be negative, was $bytes" }
        val before = held.getAndUpdate { if (it + bytes <= limitBytes) it + bytes else it }
        return before + bytes <= limitBytes
    }

    /** Returns [bytes] that were reserved. */
    public fun release(bytes: Long) {
        val after = held.addAndGet(-bytes)
        check(after >= 0) { "released more than was reserved: $after" }
    }
}

/** Returns an account for [limitBytes] with nothing held. */
public fun memoryBudgetOf(limitBytes: Long): MemoryBudget {
    require(limitBytes > 0) { "limitBytes must be positive, was $limitBytes" }
    return MemoryBudget(limitBytes)
}
