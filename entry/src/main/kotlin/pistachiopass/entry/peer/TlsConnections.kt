/**
 * Byte connections over the JDK's TLS sockets, with certificates on both sides.
 *
 * Each blocked read or write occupies a thread of a separate pool. Closing closes the TCP socket below TLS, since the
 * orderly close of TLS waits for a blocked write.
 */
package pistachiopass.entry.peer

import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.Closeable
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocket

/** Opens and accepts TLS connections with the keys of [context]; peers without a trusted certificate are refused. */
internal class TlsConnections(private val context: SSLContext) : ByteConnections {
    private val threads: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task, "peer-tls").apply { isDaemon = true }
    }

    override suspend fun connect(host: String, port: Int): ByteConnection {
        val socket = Socket()
        var connection: ByteConnection? = null
        try {
            threads.runClosingOnCancel(socket) { socket.connect(InetSocketAddress(host, port)) }
            connection = connectionOf(socket, isClient = true)
        } finally {
            if (connection == null) socket.close()
        }
        return connection
    }

    override suspend fun listen(host: String, port: Int): ByteListener {
        val socket = ServerSocket()
        socket.reuseAddress = true
        threads.runClosingOnCancel(socket) { socket.bind(InetSocketAddress(host, port)) }
        return Listener(socket)
    }

    override fun close() {
        threads.shutdown()
    }

    private fun connectionOf(socket: Socket, isClient: Boolean): ByteConnection {
        socket.tcpNoDelay = true
        val host = socket.inetAddress.hostAddress
        val tls = context.socketFactory.createSocket(socket, host, socket.port, true) as SSLSocket
        tls.useClientMode = isClient
        tls.needClientAuth = !isClient
        tls.enabledProtocols = TLS_PROTOCOLS
        return TlsConnection(socket, tls, threads)
    }

    private inner class Listener(private val socket: ServerSocket) : ByteListener {
        override val port: Int get() = socket.localPort

        override suspend fun accept(): ByteConnection =
            connectionOf(threads.runClosingOnCancel(socket) { socket.accept() }, isClient = false)

        override fun close() = socket.close()
    }
}

private class TlsConnection(
    private val socket: Socket,
    private val tls: SSLSocket,
    private val threads: ExecutorService,
) : ByteConnection {
    override suspend fun read(target: ByteArray, offset: Int, length: Int): Int =
        threads.runClosingOnCancel(socket) { tls.inputStream.read(target, offset, length) }

    override suspend fun write(bytes: ByteArray) = threads.runClosingOnCancel(socket) {
        tls.outputStream.write(bytes)
        tls.outputStream.flush()
    }

    override fun close() = socket.close()
}

/** Runs the blocking [block] on this pool; if the caller is cancelled, closes [resource], which ends [block]. */
private suspend fun <T> ExecutorService.runClosingOnCancel(resource: Closeable, block: () -> T): T =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { resource.close() }
        execute { continuation.resumeWith(runCatching(block)) }
    }

private val TLS_PROTOCOLS: Array<String> = arrayOf("TLSv1.3", "TLSv1.2")
