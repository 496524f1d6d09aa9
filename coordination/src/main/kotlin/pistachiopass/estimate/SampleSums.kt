/**
 * Exponentially decayed sums of samples by level of concurrency.
 *
 * A level is an eighth of the slots of an endpoint, so the sums have the same size for all endpoints: 27 floats.
 */
package pistachiopass.estimate

import kotlin.math.exp

/** Levels of concurrency. */
internal const val LEVELS: Int = 8

/** Returns the level, from 0, of [concurrency] requests at an endpoint with [slots]. */
internal fun levelOf(concurrency: Int, slots: Int): Int {
    val eighths = (concurrency.toLong() * LEVELS + slots - 1) / slots
    return (eighths.coerceIn(1, LEVELS.toLong()) - 1).toInt()
}

/**
 * Sums of counts, expected and observed times in milliseconds, decayed to [atMillis]. They are stored divided by a
 * common [weight], so that a decay changes one number only.
 */
internal class SampleSums(private var atMillis: Long, private val decayMillis: Double) {
    /** One row for each level, and the row [LEVELS] for all of them. */
    private val sums = FloatArray((LEVELS + 1) * FIELDS)
    private var weight = 1f

    val count: Double get() = count(LEVELS)

    /** Returns observed over expected time of all samples. */
    val ratio: Double get() = ratio(LEVELS)

    fun count(level: Int): Double = valueAt(level, 0)

    fun expectedMillis(level: Int): Double = valueAt(level, 1)

    fun observedMillis(level: Int): Double = valueAt(level, 2)

    /** Returns observed over expected time at [level]. */
    fun ratio(level: Int): Double = sums[level * FIELDS + 2].toDouble() / sums[level * FIELDS + 1]

    /** Decays the sums to [nowMillis]; an earlier time, or one that makes little difference, changes nothing. */
    fun decayTo(nowMillis: Long) {
        if (nowMillis - atMillis < DECAY_STEP_MILLIS) return
        weight *= exp(-(nowMillis - atMillis) / decayMillis).toFloat()
        atMillis = nowMillis
        if (weight < WEIGHT_MIN) {
            for (index in sums.indices) sums[index] *= weight
            weight = 1f
        }
    }

    fun add(level: Int, count: Double, expectedMillis: Double, observedMillis: Double) {
        for (row in intArrayOf(level, LEVELS)) {
            sums[row * FIELDS] += count.toFloat() / weight
            sums[row * FIELDS + 1] += expectedMillis.toFloat() / weight
            sums[row * FIELDS + 2] += observedMillis.toFloat() / weight
        }
    }

    /** Subtracts what was added before; a level that would have no samples left is emptied. */
    fun subtract(level: Int, count: Double, expectedMillis: Double, observedMillis: Double) {
        val isEmpty = count(level) - count < NEGLIGIBLE_SAMPLES ||
            expectedMillis(level) <= expectedMillis || observedMillis(level) <= observedMillis
        if (isEmpty) {
            sums.fill(0f, level * FIELDS, (level + 1) * FIELDS)
        } else {
            add(level, -count, -expectedMillis, -observedMillis)
        }
        for (field in 0 until FIELDS) {
            sums[LEVELS * FIELDS + field] = (0 until LEVELS).sumOf { sums[it * FIELDS + field].toDouble() }.toFloat()
        }
    }

    fun clear(): Unit = sums.fill(0f)

    private fun valueAt(level: Int, field: Int): Double = sums[level * FIELDS + field].toDouble() * weight
}

/** Sums of one level: count, expected time, observed time. */
private const val FIELDS: Int = 3

/** Shortest decay; a shorter one changes the sums by less than a two-hundredth. */
private const val DECAY_STEP_MILLIS: Long = 10

/** Weight below which the sums are multiplied by it, before floats lose precision. */
private const val WEIGHT_MIN: Float = 1e-3f
