/**
 * Notices that a connection was reset after its end was read.
 *
 * Reads return the end of the stream from then on, whatever follows, and a write would send bytes that belong to no
 * request. A selector still learns of the error: it reports all operations of interest as ready then, and the operation
 * of interest here, the end of connecting, is otherwise never ready on a connection that is open.
 */
package pistachiopass.http

import java.io.Closeable
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel

/** Watches the connection of [channel], which does not block, until it is closed. Confined to one thread. */
public class ResetWatch(channel: SocketChannel) : Closeable {
    private val selector = Selector.open()
    private val key = channel.register(selector, SelectionKey.OP_CONNECT)

    /** Is true if the connection was reset, or closed by this side. */
    public fun isReset(): Boolean {
        selector.selectNow()
        return !key.isValid || key.isConnectable
    }

    override fun close(): Unit = selector.close()
}

/**
 * Returns how often to look for a reset, each time after [RESET_POLL_MILLIS], once the response to a request with a
 * body of [bodyBytes] has ended with its connection.
 */
public fun resetPollsAfter(bodyBytes: Long): Int = when {
    bodyBytes == 0L -> 0
    bodyBytes <= READ_AT_ONCE_BYTES -> 1
    else -> RESET_POLLS
}

/** Pause between two looks for a reset, in milliseconds. */
public const val RESET_POLL_MILLIS: Long = 5

/** In all, several round trips between data centres. */
private const val RESET_POLLS: Int = 20

/** Size up to which servers read a body together with its head, so that it is seldom unread. */
private const val READ_AT_ONCE_BYTES: Long = 4 * 1024
