/**
 * Notices that a connection was reset after its end was read.
 *
 * Reads return the end of the stream from then on, whatever follows, and a write would send bytes that belong to no
 * request. A selector still learns of the error: it reports all operations of interest as ready then, and the operation
 * of interest here, the end of connecting, is otherwise never ready on a connection that is open.
 */
package pistachiopass.gateway.http

import io.netty.channel.Channel
import io.netty.channel.socket.nio.NioSocketChannel
import java.io.Closeable
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel

/** Watches the connection of [channel] until it is closed. Confined to the event loop. */
internal class ResetWatch(channel: SocketChannel) : Closeable {
    private val selector = Selector.open()
    private val key = channel.register(selector, SelectionKey.OP_CONNECT)

    /** Is true if the connection was reset. */
    fun isReset(): Boolean {
        selector.selectNow()
        return !key.isValid || key.isConnectable
    }

    override fun close(): Unit = selector.close()
}

/** A channel whose connection can be watched. */
internal class WatchableSocketChannel : NioSocketChannel() {
    fun watch(): ResetWatch = ResetWatch(javaChannel())
}

/** Returns a watch of this channel's connection; null if there is none for this type of channel. */
internal fun Channel.resetWatchOrNull(): ResetWatch? = (this as? WatchableSocketChannel)?.watch()
