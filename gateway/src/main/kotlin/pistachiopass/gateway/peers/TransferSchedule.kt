/**
 * When an instance sends what others fetch from it, so that its link stays free for everything else.
 *
 * A large state that is sent at once fills a slow link, and what comes after it waits: requests to endpoints, calls to
 * the store and datagrams. So transfers follow each other, at a rate below that of the slowest links.
 */
package pistachiopass.gateway.peers

import kotlin.math.ceil

/** One transfer, which begins at [startMillis] on a monotonic clock and takes [durationMillis]. */
internal class Transfer(private val startMillis: Double, private val durationMillis: Double) {
    /** Returns the time, on the same clock, before which no more than [share] of the bytes are sent; from 0 to 1. */
    fun dueMillis(share: Double): Long = ceil(startMillis + durationMillis * share).toLong()
}

/** The transfers of one instance, one after the other; [nowMillis] is monotonic. Confined to the event loop. */
internal class TransferSchedule(private val nowMillis: () -> Long) {
    private var freeMillis = 0.0

    /** Whether a transfer would begin so late that the reader does better to ask another instance. */
    val isFull: Boolean get() = freeMillis - nowMillis() > WAIT_MAX_MILLIS

    /** Adds a transfer of [bytes] after those that were added before. */
    fun add(bytes: Int): Transfer {
        val startMillis = maxOf(freeMillis, nowMillis().toDouble())
        val durationMillis = minOf(bytes / BYTES_PER_MILLI, DURATION_MAX_MILLIS)
        freeMillis = startMillis + durationMillis
        return Transfer(startMillis, durationMillis)
    }
}

/** Two thirds of the slowest links of the deployments. */
private const val BYTES_PER_MILLI: Double = 1_170.0

/** The longest transfer: with the wait before it, it ends before the reader gives up. */
private const val DURATION_MAX_MILLIS: Double = 900.0

/** Time for which a transfer may wait for those before it. */
private const val WAIT_MAX_MILLIS: Double = 400.0
