/** Pool of connections to endpoints or the platform's store. All calls come from the event loop. */
package pistachiopass.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import kotlinx.coroutines.suspendCancellableCoroutine
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.state.AgeClock
import kotlin.coroutines.resume

/** A connection that has been idle since [sinceMillis] on the [AgeClock]. */
private class IdleConnection(val connection: UpstreamConnection, val sinceMillis: Long)

/** Opens connections and, if [isReusing], keeps idle ones for calls with the same key. */
internal class UpstreamPool<K : Any>(
    private val eventLoop: EventLoop,
    private val clock: AgeClock,
    private val isReusing: Boolean = true,
    private val log: EventLog = EventLog,
) {
    private val idleByKey = HashMap<K, ArrayDeque<IdleConnection>>()

    /**
     * Returns a connection for [key] that was idle for at most [idleMaxMillis] and is not in [excluded], or else a new
     * one to [address].
     *
     * Returns null if the connection cannot be opened.
     */
    suspend fun acquireOrNull(
        key: K,
        address: Address,
        idleMaxMillis: Long,
        excluded: Set<UpstreamConnection> = emptySet(),
    ): UpstreamConnection? = idleOrNull(key, idleMaxMillis, excluded) ?: connectOrNull(address)

    /** Keeps [connection] for reuse, or closes it if it cannot be reused. */
    fun release(key: K, connection: UpstreamConnection) {
        if (connection.finish() && isReusing) {
            idleByKey.getOrPut(key, ::ArrayDeque).addLast(IdleConnection(connection, clock.nowMillis()))
        } else {
            connection.close()
        }
    }

    /** Closes connections that were idle for too long, and all connections of keys for which [isKnown] is false. */
    fun trim(isKnown: (K) -> Boolean) {
        val entries = idleByKey.entries.iterator()
        while (entries.hasNext()) {
            val (key, connections) = entries.next()
            val isKeyKnown = isKnown(key)
            connections.filter { !isKeyKnown || !isFresh(it, IDLE_MAX_MILLIS) }.forEach { it.connection.close() }
            connections.removeAll { !it.connection.isReusable }
            if (connections.isEmpty()) entries.remove()
        }
    }

    /** Closes all idle connections. */
    fun closeAll(): Unit = trim { false }

    private fun idleOrNull(key: K, idleMaxMillis: Long, excluded: Set<UpstreamConnection>): UpstreamConnection? {
        val connections = idleByKey[key] ?: ArrayDeque()
        while (true) {
            val index = connections.indexOfLast { it.connection !in excluded }
            val last = if (index < 0) null else connections.removeAt(index)
            if (last == null || isFresh(last, idleMaxMillis)) return last?.connection
            last.connection.close()
        }
    }

    private fun isFresh(idle: IdleConnection, idleMaxMillis: Long): Boolean {
        val statedMillis = idle.connection.keepAliveMillis?.let { it - KEEP_ALIVE_MARGIN_MILLIS } ?: idleMaxMillis
        return idle.connection.isReusable && clock.nowMillis() - idle.sinceMillis <= minOf(idleMaxMillis, statedMillis)
    }

    private suspend fun connectOrNull(address: Address): UpstreamConnection? {
        lateinit var connection: UpstreamConnection
        val bootstrap = Bootstrap()
            .group(eventLoop)
            .channel(WatchableSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            // Tells an orderly close by the server from a reset.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    connection = UpstreamConnection(channel, ConnectionLog(channel, log))
                    connection.install(channel.pipeline())
                }
            })
        val future = bootstrap.connect(address.host, address.port)
        val isConnected = suspendCancellableCoroutine { continuation ->
            future.addListener { continuation.resume(future.isSuccess) }
            continuation.invokeOnCancellation { future.channel().close() }
        }
        return if (isConnected) connection else null
    }
}

/** Longest idle time after which a connection is reused, unless the server states a shorter one. */
internal const val IDLE_MAX_MILLIS: Long = 4_000

/** Margin before the server's idle timeout within which a connection is not reused. */
private const val KEEP_ALIVE_MARGIN_MILLIS: Long = 500

/** Connections inside a region open within a few milliseconds. */
private const val CONNECT_TIMEOUT_MILLIS: Int = 400
