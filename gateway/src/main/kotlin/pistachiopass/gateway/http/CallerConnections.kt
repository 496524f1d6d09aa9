/** The open connections of callers, and the closing of those that stay silent. */
package pistachiopass.gateway.http

import pistachiopass.gateway.model.CallerLimits

/** The open connections of callers. */
internal class CallerConnections {
    private val open = LinkedHashSet<CallerConnection>()

    /** Answers tell callers to close their connection. */
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

    /** Closes connections that were silent beyond [limits] at [nowNanos]. */
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

    /** Closes connections on which no request is being read or served. */
    fun closeIdle(): Unit = open.filter { it.isIdle }.forEach { it.close() }
}

/** A caller may use its whole time; the margin covers the time on the way. */
private const val READ_MARGIN_MILLIS: Long = 500
private const val NANOS_PER_MILLI: Long = 1_000_000
