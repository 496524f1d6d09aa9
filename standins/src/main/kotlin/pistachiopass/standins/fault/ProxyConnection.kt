/** One forwarded connection of a [TcpProxy] and the faults that can be done to it. */
package pistachiopass.standins.fault

import java.io.IOException
import java.net.Socket

/** Forwards bytes between [caller] and [server] until either side closes. */
public class ProxyConnection internal constructor(
    private val caller: Socket,
    private val server: Socket,
) : AutoCloseable {
    @Volatile
    private var silent: Boolean = false

    @Volatile
    private var remainingAnswerBytes: Long = Long.MAX_VALUE

    init {
        caller.tcpNoDelay = true
        server.tcpNoDelay = true
    }

    /** Lets the connection carry nothing more, in either direction, while it stays open. */
    public fun silence() {
        silent = true
    }

    /** Closes the connection once [answerBytes] more bytes have gone to the caller. */
    public fun truncateAfter(answerBytes: Long) {
        remainingAnswerBytes = answerBytes
    }

    /** Resets the connection: the caller gets a TCP reset and no further byte. */
    public fun reset() {
        silent = true
        runCatching { caller.setSoLinger(true, 0) }
        close()
    }

    override fun close() {
        caller.close()
        server.close()
    }

    internal fun forwardRequests(): Unit = forward(caller, server) { it }

    internal fun forwardAnswers(): Unit = forward(server, caller, ::takeAnswerBytes)

    /** Copies until the source ends; [allow] returns how many of the bytes read may go on. */
    private fun forward(source: Socket, sink: Socket, allow: (Int) -> Int) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            var size = source.getInputStream().read(buffer)
            while (size >= 0) {
                if (!silent && !write(sink, buffer, size, allow(size))) break
                size = source.getInputStream().read(buffer)
            }
        } catch (_: IOException) {
            // Either side closed or reset the connection: both ends are closed below.
        } finally {
            close()
        }
    }

    /** Writes the allowed part and returns whether it was all of it. */
    private fun write(sink: Socket, buffer: ByteArray, size: Int, allowedBytes: Int): Boolean {
        sink.getOutputStream().write(buffer, 0, allowedBytes)
        return allowedBytes == size
    }

    private fun takeAnswerBytes(size: Int): Int {
        val allowed = minOf(size.toLong(), remainingAnswerBytes)
        remainingAnswerBytes -= allowed
        return allowed.toInt()
    }
}

private const val BUFFER_BYTES: Int = 16 * 1024
