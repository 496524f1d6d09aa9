/** Counts the document calls to the platform stand-in, which the platform would charge to its call rate. */
package pistachiopass.standins.platform

import kotlinx.serialization.Serializable

/** Reports the calls so far; [peakPerSecond] is the highest number of calls that arrived within one second. */
@Serializable
public data class CallReport(val total: Long, val byCaller: Map<String, Long>, val peakPerSecond: Long)

/** Counts calls by caller and by second of the clock; safe for use by many threads. */
public class CallCounter(private val nowMillis: () -> Long = System::currentTimeMillis) {
    private val byCaller: MutableMap<String, Long> = sortedMapOf()
    private var second: Long = Long.MIN_VALUE
    private var inSecond: Long = 0
    private var peakPerSecond: Long = 0

    /** Counts one call of [caller]. */
    public fun count(caller: String): Unit =
        synchronized(this) {
            byCaller.merge(caller, 1, Long::plus)
            val now = nowMillis() / MILLIS_PER_SECOND
            inSecond = if (now == second) inSecond + 1 else 1
            second = now
            peakPerSecond = maxOf(peakPerSecond, inSecond)
        }

    /** Returns the counts so far. */
    public fun report(): CallReport =
        synchronized(this) { CallReport(byCaller.values.sum(), byCaller.toMap(), peakPerSecond) }
}

private const val MILLIS_PER_SECOND: Long = 1000
