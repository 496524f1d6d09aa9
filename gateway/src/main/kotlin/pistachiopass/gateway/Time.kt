/** Time units and the monotonic clock in milliseconds. */
package pistachiopass.gateway

/** Returns the monotonic time in milliseconds; it does not advance while the machine is suspended. */
internal fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

internal const val NANOS_PER_MILLI: Long = 1_000_000
