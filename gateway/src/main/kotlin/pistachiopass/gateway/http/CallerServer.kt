/** Listens for connections of callers. */
package pistachiopass.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.suspendCancellableCoroutine
import pistachiopass.gateway.model.Address
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Listens on [address] and passes each accepted channel to [initialize]; returns the listening channel. */
internal suspend fun listen(group: EventLoopGroup, address: Address, initialize: (Channel) -> Unit): Channel {
    val handler: ChannelHandler = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) = initialize(channel)
    }
    val future = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_MARK_BYTES, HIGH_MARK_BYTES))
        .childHandler(handler)
        .bind(address.host, address.port)
    return future.awaitChannel()
}

/** Returns the channel once it is bound; throws an `IOException` if the address cannot be bound. */
internal suspend fun ChannelFuture.awaitChannel(): Channel = suspendCancellableCoroutine { continuation ->
    addListener {
        if (isSuccess) continuation.resume(channel()) else continuation.resumeWithException(cause())
    }
}

/** Installs the HTTP codec and a [CallerConnection] with [context] on [channel]. */
internal fun serveCallers(channel: Channel, context: CallerContext) {
    val limits = context.limits()
    val config = HttpDecoderConfig()
        .setMaxInitialLineLength(limits.headerBytes)
        .setMaxHeaderSize(limits.headerBytes)
        .setMaxChunkSize(CHUNK_BYTES)
    val connection = CallerConnection(channel, context)
    context.connections.add(connection)
    channel.pipeline().addLast(HttpRequestDecoder(config), HttpResponseEncoder(), connection)
}

private const val BACKLOG: Int = 512
private const val CHUNK_BYTES: Int = 64 * 1024

/** Bytes buffered for a caller that reads slowly, above which reading of the endpoint's response pauses. */
private const val HIGH_MARK_BYTES: Int = 256 * 1024
private const val LOW_MARK_BYTES: Int = 64 * 1024
