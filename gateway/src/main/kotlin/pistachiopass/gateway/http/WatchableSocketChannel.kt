/** A socket channel whose connection can be watched for a reset. */
package pistachiopass.gateway.http

import io.netty.channel.Channel
import io.netty.channel.socket.nio.NioSocketChannel
import pistachiopass.http.ResetWatch

internal class WatchableSocketChannel : NioSocketChannel() {
    fun watch(): ResetWatch = ResetWatch(javaChannel())
}

/** Returns a watch of this channel's connection; null if there is none for this type of channel. */
internal fun Channel.resetWatchOrNull(): ResetWatch? = (this as? WatchableSocketChannel)?.watch()
