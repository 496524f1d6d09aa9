/**
 * HTTP client that accepts only responses that conform, for all calls of the daemon and the tools.
 *
 * The library accepts more than RFC 9112 does, and does not tell a reset that only a write met, or that follows an
 * orderly close, from such a close. So the bytes are checked as it reads them from the socket. Each call has a
 * connection of its own: the library cannot detect reliably whether the server has closed an idle one.
 */
package pistachiopass.entry.http

import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.engine.okhttp.OkHttpConfig
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Protocol
import pistachiopass.http.RESET_POLL_MILLIS
import pistachiopass.http.ResetWatch
import pistachiopass.http.SingleResponseSyntax
import pistachiopass.http.resetPollsAfter
import java.io.FilterInputStream
import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ProtocolException
import java.net.Socket
import java.net.SocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit
import javax.net.SocketFactory

/** Returns a client that sends each request once, over a connection of its own, to `http` addresses only. */
public fun checkedHttpClientOf(configure: HttpClientConfig<OkHttpConfig>.() -> Unit = {}): HttpClient =
    HttpClient(OkHttp) {
        expectSuccess = false
        followRedirects = false
        configure()
        engine { config { checkResponses() } }
    }

private fun OkHttpClient.Builder.checkResponses() {
    retryOnConnectionFailure(false)
    followRedirects(false)
    protocols(listOf(Protocol.HTTP_1_1))
    connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
    socketFactory(CheckedSocketFactory)
}

/** The library asks for unconnected sockets only. */
private object CheckedSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = CheckedSocket()

    override fun createSocket(host: String, port: Int): Socket = unsupported()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket = unsupported()

    override fun createSocket(host: InetAddress, port: Int): Socket = unsupported()

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket =
        unsupported()

    private fun unsupported(): Nothing = throw UnsupportedOperationException("only unconnected sockets are made")
}

/** A socket over [connection], of which no more is implemented than the library uses. */
private abstract class ChannelSocket(protected val connection: SocketChannel) : Socket() {
    private val socket = connection.socket()

    override fun connect(endpoint: SocketAddress, timeout: Int): Unit = socket.connect(endpoint, timeout)

    override fun getInputStream(): InputStream = socket.getInputStream()

    override fun getOutputStream(): OutputStream = socket.getOutputStream()

    override fun getSoTimeout(): Int = socket.soTimeout

    override fun setSoTimeout(timeout: Int) {
        socket.soTimeout = timeout
    }

    override fun close() {
        socket.close()
        super.close()
    }
}

/** A socket that carries one request and passes on only what conforms of its response. */
private class CheckedSocket : ChannelSocket(SocketChannel.open()) {
    private val method = StringBuilder()
    private val syntax = SingleResponseSyntax { method.startsWith(HEAD) }

    @Volatile
    private var isWriteFailed = false

    @Volatile
    private var writtenBytes = 0L

    override fun getOutputStream(): OutputStream = Output(super.getOutputStream())

    override fun getInputStream(): InputStream = Input(super.getInputStream())

    private inner class Output(private val target: OutputStream) : FilterOutputStream(target) {
        override fun write(byte: Int): Unit = write(byteArrayOf(byte.toByte()))

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            if (method.length < HEAD.length) method.append(String(bytes, offset, length, Charsets.ISO_8859_1))
            writtenBytes += length
            try {
                target.write(bytes, offset, length)
            } catch (e: IOException) {
                isWriteFailed = true
                throw e
            }
        }
    }

    private inner class Input(private val source: InputStream) : FilterInputStream(source) {
        override fun read(): Int {
            val byte = ByteArray(1)
            return if (read(byte) < 0) END_OF_STREAM else byte[0].toUByte().toInt()
        }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
            val count = source.read(bytes, offset, length)
            if (count >= 0) {
                syntax.accept(ByteBuffer.wrap(bytes, offset, count))
                syntax.problem?.let { throw ProtocolException("malformed response: ${it.name.lowercase()}") }
            } else if (!syntax.isWholeAtClose(isRequestSent = !isWriteFailed) || isResetAfterEnd()) {
                throw ProtocolException("the connection ended before the response")
            }
            return count
        }

        /** The head counts as a part of the body here, so a request without a body costs one look. */
        private fun isResetAfterEnd(): Boolean {
            if (!syntax.endsWithConnection) return false
            connection.configureBlocking(false)
            return ResetWatch(connection).use { watch ->
                var polls = resetPollsAfter(writtenBytes)
                while (polls-- > 0 && !watch.isReset()) Thread.sleep(RESET_POLL_MILLIS)
                watch.isReset()
            }
        }
    }
}

private const val HEAD = "HEAD "
private const val END_OF_STREAM = -1
