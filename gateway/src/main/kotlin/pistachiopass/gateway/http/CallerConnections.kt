/** Keeps the open connections of callers and closes those that time out. */
package pistachiopass.gateway.http

import pistachiopass.gateway.NANOS_PER_MILLI
import pistachiopass.gateway.model.CallerLimits

internal class CallerConnections {
    private val open = LinkedHashSet<CallerConnection>()

    /** While true, responses tell callers to close the connection. */
    var isClosing: Boolean = false

    /** Number of open connections. */
    val size: Int get() = open.size

    /** Is true while any request is being read or served. */
    val isBusy: Boolean get() = open.any { !it.isIdle }

    fun add(connection: CallerConnection) {
        open += connection
    }

    fun remove(connection: CallerConnection) {
        open -= connection
    }

    /** Closes connections that at [nowNanos] had no activity for longer than [limits] allow. */
    fun closeTimedOut(nowNanos: Long, limits: CallerLimits) {
        val readLimitNanos = (limits.headerTimeoutMillis + READ_MARGIN_MILLIS) * NANOS_PER_MILLI
        val idleLimitNanos = limits.idleTimeoutMillis * NANOS_PER_MILLI
        open.toList().forEach { connection ->
            val since = connection.readingSinceNanos
            when {
                since != null && nowNanos - connection.lastActivityNanos > readLimitNanos -> connection.refuseTimedOut()
                connection.isIdle && nowNanos - connection.lastActivityNanos > idleLimitNanos -> connection.close()
            }
        }
    }

    /**
     * Closes connections on which no request is being read or served at [nowNanos], but for those opened or used just
     * before, whose next request may be on its way.
     */
    fun closeIdle(nowNanos: Long): Unit =
        open.filter { it.isIdle && nowNanos - it.lastActivityNanos > REQUEST_TRANSFER_NANOS }.forEach { it.close() }
}

/** Time in which a request that a caller has begun to send arrives; some round trips between regions. */
private const val REQUEST_TRANSFER_NANOS: Long = 250 * NANOS_PER_MILLI

/** Network delay that is added to the header timeout, so that a caller may use all of it. */
private const val READ_MARGIN_MILLIS: Long = 500
