/** Accepts connections of callers and closes those that stay silent. */
package pistachiopass.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
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
import pistachiopass.gateway.model.CallerLimits
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

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
    fun closeSilent(nowNanos: Long, limits: CallerLimits) {
        val readLimitNanos = (limits.headTimeoutMillis + READ_MARGIN_MILLIS) * NANOS_PER_MILLI
        val idleLimitNanos = limits.idleTimeoutMillis * NANOS_PER_MILLI
        open.toList().forEach { connection ->
            val since = connection.readingSinceNanos
            when {
                since != null && nowNanos - connection.touchedNanos > readLimitNanos -> connection.refuseSlow()
                connection.isIdle && nowNanos - connection.touchedNanos > idleLimitNanos -> connection.close()
            }
        }
    }

    /** Closes connections on which no request is being read or served. */
    fun closeIdle(): Unit = open.filter { it.isIdle }.forEach { it.close() }
}

/** Listens on [address] and passes each connection to [initialize]; returns the listening channel. */
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
    return suspendCancellableCoroutine { continuation ->
        future.addListener {
            if (future.isSuccess) {
                continuation.resume(future.channel())
            } else {
                continuation.resumeWithException(future.cause())
            }
        }
    }
}

/** Installs the server's codec and a connection that serves [context]. */
internal fun serveCallers(channel: Channel, context: CallerContext) {
    val limits = context.limits()
    val config = HttpDecoderConfig()
        .setMaxInitialLineLength(limits.headBytes)
        .setMaxHeaderSize(limits.headBytes)
        .setMaxChunkSize(CHUNK_BYTES)
    val connection = CallerConnection(channel, context)
    context.connections.add(connection)
    channel.pipeline().addLast(HttpRequestDecoder(config), HttpResponseEncoder(), connection)
}

private const val BACKLOG: Int = 512
private const val CHUNK_BYTES: Int = 64 * 1024

/** Bytes that are held for one caller that reads slowly before its endpoint is read no further. */
private const val HIGH_MARK_BYTES: Int = 256 * 1024
private const val LOW_MARK_BYTES: Int = 64 * 1024

/** A caller may use its whole time; the margin covers the time on the way. */
private const val READ_MARGIN_MILLIS: Long = 500
private const val NANOS_PER_MILLI: Long = 1_000_000
