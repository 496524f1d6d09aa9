/**
 * A TCP proxy that forwards bytes between callers and a server on the loopback interface.
 *
 * It stands between the listening port of a stand-in and its HTTP server, so that faults of connections (silence,
 * reset, a cut answer) can be caused without the server's help. A handler finds its connection by the remote port that
 * the server sees. Blocking JDK sockets are used since Ktor's accepted sockets cannot be reset on purpose.
 */
package pistachiopass.standins.fault

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Accepts connections on [port] and forwards each to the server; [close] ends all of them. */
public class TcpProxy internal constructor(
    private val listener: ServerSocket,
    private val serverPort: Int,
) : AutoCloseable {
    private val connections: ConcurrentHashMap<Int, ProxyConnection> = ConcurrentHashMap()
    private val threads: ExecutorService =
        Executors.newCachedThreadPool { task -> Thread(task, "tcp-front").apply { isDaemon = true } }

    /** The port on which callers are accepted. */
    public val port: Int get() = listener.localPort

    /** Returns the connection whose remote port the server sees as [serverSidePort], or null when it is closed. */
    public fun connectionOrNull(serverSidePort: Int): ProxyConnection? = connections[serverSidePort]

    /** Silences every connection that is open now, but for the one that the server sees as [exceptPort]. */
    public fun silenceAll(exceptPort: Int? = null) {
        connections.forEach { (serverSidePort, connection) ->
            if (serverSidePort != exceptPort) connection.silence()
        }
    }

    /** Resets every connection that is open now, but for those that the server sees as [exceptPorts]. */
    public fun resetAll(exceptPorts: Set<Int> = emptySet()) {
        connections.forEach { (serverSidePort, connection) ->
            if (serverSidePort !in exceptPorts) connection.reset()
        }
    }

    override fun close() {
        listener.close()
        connections.values.forEach { it.close() }
        threads.shutdownNow()
    }

    internal fun start() {
        threads.execute { acceptUntilClosed() }
    }

    private fun acceptUntilClosed() {
        while (!listener.isClosed) {
            val caller = acceptOrNull() ?: continue
            threads.execute { connect(caller) }
        }
    }

    private fun acceptOrNull(): Socket? =
        try {
            listener.accept()
        } catch (_: IOException) {
            null
        }

    private fun connect(caller: Socket) {
        val server =
            try {
                Socket(InetAddress.getLoopbackAddress(), serverPort)
            } catch (_: IOException) {
                caller.close()
                return
            }
        val connection = ProxyConnection(caller, server)
        connections[server.localPort] = connection
        threads.execute { connection.forwardRequests() }
        connection.forwardAnswers()
        connections.remove(server.localPort, connection)
    }
}

/** Returns a started proxy that listens on [port] of the loopback interface; 0 takes a free port. */
public fun tcpProxyOf(port: Int, serverPort: Int): TcpProxy {
    val listener = ServerSocket()
    listener.reuseAddress = true
    listener.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port), ACCEPT_BACKLOG)
    return TcpProxy(listener, serverPort).apply { start() }
}

private const val ACCEPT_BACKLOG: Int = 1024
