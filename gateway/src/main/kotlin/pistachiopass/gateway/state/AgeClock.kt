/**
 * A clock for the age of known state that keeps running while the machine is suspended.
 *
 * The monotonic clock stops during a suspension while the time of day advances. This clock advances by whichever of the
 * two advanced more, so state that was read before a suspension has its real age. A forward jump of the time of day
 * makes the state look older than it is, which only causes it to be confirmed again.
 */
package pistachiopass.gateway.state

import pistachiopass.gateway.NANOS_PER_MILLI

/** Returns the time in milliseconds since an arbitrary start; for ages of state, not for durations of requests. */
public fun interface AgeClock {
    public fun nowMillis(): Long
}

/** Returns a clock that combines [monotonicNanos] and [wallMillis]; not thread-safe. */
public fun ageClockOf(
    monotonicNanos: () -> Long = System::nanoTime,
    wallMillis: () -> Long = System::currentTimeMillis,
): AgeClock {
    var lastNanos = monotonicNanos()
    var lastWallMillis = wallMillis()
    var elapsedNanos = 0L
    return AgeClock {
        val nanos = monotonicNanos()
        val wall = wallMillis()
        val monotonicStep = nanos - lastNanos
        val wallStep = (wall - lastWallMillis) * NANOS_PER_MILLI
        elapsedNanos += if (wallStep - monotonicStep > SUSPENSION_NANOS) wallStep else monotonicStep
        lastNanos = nanos
        lastWallMillis = wall
        elapsedNanos / NANOS_PER_MILLI
    }
}

/** Difference of the two clocks above which the machine counts as suspended; exceeds the jitter of a clock read. */
private const val SUSPENSION_NANOS: Long = 50_000_000
