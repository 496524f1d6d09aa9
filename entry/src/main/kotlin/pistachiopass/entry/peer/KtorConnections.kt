/** Byte connections over Ktor TCP sockets, without TLS. */
package pistachiopass.entry.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.io.IOException

/** Opens and accepts connections that share one selector. */
internal class KtorConnections : ByteConnections {
    private val selector: SelectorManager = SelectorManager(Dispatchers.IO)

    override suspend fun connect(host: String, port: Int): ByteConnection =
        KtorConnection(aSocket(selector).tcp().connect(InetSocketAddress(host, port)) { noDelay = true })

    override suspend fun listen(host: String, port: Int): ByteListener =
        KtorListener(aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true })

    override fun close() = selector.close()
}

private class KtorListener(private val socket: ServerSocket) : ByteListener {
    override val port: Int get() = socket.port

    override suspend fun accept(): ByteConnection = KtorConnection(socket.accept())

    override fun close() = socket.close()
}

private class KtorConnection(private val socket: Socket) : ByteConnection {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel()

    override suspend fun read(target: ByteArray, offset: Int, length: Int): Int =
        cancellationAsIoException { input.readAvailable(target, offset, length) }

    override suspend fun write(bytes: ByteArray) = cancellationAsIoException {
        output.writeFully(bytes)
        output.flush()
    }

    override fun close() {
        val cause = IOException("connection closed")
        input.cancel(cause)
        output.cancel(cause)
        socket.close()
    }
}

/** Runs [block]; throws an `IOException` if a closed connection, and not the caller, cancelled it. */
private suspend fun <T> cancellationAsIoException(block: suspend () -> T): T = try {
    block()
} catch (e: CancellationException) {
    currentCoroutineContext().ensureActive()
    throw IOException("connection closed", e)
}
