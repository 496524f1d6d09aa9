/**
 * Partition of the engines of a service between long prompts and short streams.
 *
 * An engine prefills prompts between the decode steps of its streams, so a long prefill stalls all of them beyond their
 * gap target. If each instance looked for the best engine for each prompt alone, long prompts would come to all
 * engines. With a partition they come to few. It follows the load: its size is computed from the long prefills and the
 * streams that instances announce to each other, and without long prompts there is none. The order of the engines is
 * rendezvous hashing, so instances with similar views differ in one or two engines.
 *
 * For loads in which long prompts take a substantial part of the prefill time beside many short streams.
 */
package pistachiopass.routing

import kotlin.math.exp

/** Returns whether a prefill of [prefillMillis] in a pass of [passMillis] stalls streams beyond [gapTargetMillis]. */
public fun isLongPrefill(prefillMillis: Double, passMillis: Double, gapTargetMillis: Long): Boolean =
    gapTargetMillis > 0 && prefillMillis > gapTargetMillis * GAP_FRACTION - passMillis

/**
 * Returns the share of [engines] engines that is for long prompts, from 0 to 1.
 *
 * [longPrefill] is the prefill time of long prompts per unit of time, in engines, and [streams] the number of short
 * streams, of which an engine decodes [slots] at once. What neither needs is divided in the same proportion.
 */
public fun longPromptShareOf(longPrefill: Double, streams: Int, slots: Int, engines: Int): Double {
    require(slots > 0) { "slots must be positive, was $slots" }
    if (longPrefill < LONG_PREFILL_MIN || engines == 0) return 0.0
    val forLong = longPrefill / PREFILL_UTILISATION
    val forStreams = streams / (slots * SLOT_UTILISATION)
    return forLong / maxOf(forLong + forStreams, LONG_ENGINES_MIN)
}

/**
 * Returns the position of each of [members] in the order in which they join the partition, from 0 to 1.
 *
 * A member belongs to the partition if its position is below the share. [idOf] returns the text that is hashed.
 */
public fun <T> longPromptPositionsOf(members: List<T>, idOf: (T) -> String): Map<T, Double> =
    members.rankedFor(PARTITION_KEY, idOf)
        .mapIndexed { index, member -> member to (index + POSITION_OFFSET) / members.size }
        .toMap()

/** An amount per millisecond as an average that decays exponentially. Not thread-safe. */
public class DecayingRate internal constructor() {
    private var sum = 0.0
    private var atMillis = 0L

    /** Adds [amount] at [nowMillis], the time of a monotonic clock. */
    public fun add(amount: Double, nowMillis: Long) {
        sum = decayedSum(nowMillis) + amount
        atMillis = nowMillis
    }

    /** Returns the average per millisecond at [nowMillis]. */
    public fun perMilli(nowMillis: Long): Double = decayedSum(nowMillis) / TIME_CONSTANT_MILLIS

    private fun decayedSum(nowMillis: Long): Double =
        if (sum == 0.0) 0.0 else sum * exp(-(nowMillis - atMillis).coerceAtLeast(0) / TIME_CONSTANT_MILLIS)
}

/** Returns a rate of 0. */
public fun decayingRateOf(): DecayingRate = DecayingRate()

/** Part of the gap target that a pass with a prefill may take; the rest allows for the network and other prompts. */
private const val GAP_FRACTION: Double = 0.8

/** Utilisation of the engines for long prompts at which these wait for each other about as long as they run. */
private const val PREFILL_UTILISATION: Double = 0.6

/** Part of the slots that streams use; the rest is for arrivals until placements are known to all instances. */
private const val SLOT_UTILISATION: Double = 0.75

/** Long prefills that keep less than a hundredth of an engine busy do not stall streams noticeably. */
private const val LONG_PREFILL_MIN: Double = 0.01

/** Fewer engines in use than this do not make all of the others engines for long prompts. */
private const val LONG_ENGINES_MIN: Double = 1.0
private const val PARTITION_KEY: String = "long-prompts"
private const val POSITION_OFFSET: Double = 0.5

/** Bursts of long prompts last some seconds, and the partition has to follow within that time. */
private const val TIME_CONSTANT_MILLIS: Double = 2_500.0
