/**
 * A clock for the age of beliefs.
 *
 * The steady clock of a suspended machine stands still while the time of day goes on. This clock advances by whichever
 * of the two advanced more, so a belief held across a suspension is as old as it really is. A forward jump of the time
 * of day makes beliefs look older than they are, which only causes them to be proved again.
 */
package pistachiopass.gateway.state

/** Gives the time in milliseconds since an arbitrary start; for ages of beliefs, not for durations of requests. */
public fun interface AgeClock {
    public fun nowMillis(): Long
}

/** Returns a clock over [monotonicNanos] and [wallMillis]; not safe for use by several threads. */
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

/** Difference of the two clocks from which on the machine counts as suspended; above the jitter of a clock read. */
private const val SUSPENSION_NANOS: Long = 50_000_000
private const val NANOS_PER_MILLI: Long = 1_000_000
