/**
 * Response body that buffers at most a window of bytes.
 *
 * The server library's own channels buffer up to a megabyte for a caller that reads slowly; this one suspends the
 * writer as soon as the window is full.
 */
package pistachiopass.entry.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Source

/** Receives the bytes of a response body. */
public fun interface ByteSink {
    /** Writes [bytes]; suspends while the window is full because the caller reads too slowly. */
    public suspend fun write(bytes: ByteArray)
}

/** Passes bytes from one writer to one reader. */
public class WindowedBody internal constructor(private val windowBytes: Int) : ByteReadChannel, ByteSink {
    private val buffer: Buffer = Buffer()
    private val chunks: Channel<ByteArray> = Channel(Channel.UNLIMITED)
    private val queuedBytes: MutableStateFlow<Int> = MutableStateFlow(0)

    @Volatile
    override var closedCause: Throwable? = null
        private set

    @Volatile
    private var ended: Boolean = false

    override val isClosedForRead: Boolean get() = closedCause != null || (ended && buffer.exhausted())

    @InternalAPI
    override val readBuffer: Source get() = buffer

    override suspend fun write(bytes: ByteArray) {
        var taken = false
        while (!taken) {
            val queued = queuedBytes.first { it.hasRoomFor(bytes.size) }
            taken = queuedBytes.compareAndSet(queued, queued + bytes.size)
        }
        closedCause?.let { throw IOException("the response body was cancelled", it) }
        chunks.trySend(bytes)
    }

    /** Marks the end of the body. */
    public fun finish() {
        chunks.close()
    }

    override suspend fun awaitContent(min: Int): Boolean {
        while (!ended && buffer.size < min) receive()
        closedCause?.let { throw IOException("the response body was cancelled", it) }
        return buffer.size >= min
    }

    override fun cancel(cause: Throwable?) {
        closedCause = cause ?: IOException("the response body was cancelled")
        chunks.cancel()
        queuedBytes.update { 0 }
    }

    private suspend fun receive() {
        try {
            val bytes = chunks.receive()
            buffer.write(bytes)
            queuedBytes.update { (it - bytes.size).coerceAtLeast(0) }
        } catch (_: ClosedReceiveChannelException) {
            ended = true
        }
    }

    /** A chunk larger than the window is accepted only while nothing else is buffered. */
    private fun Int.hasRoomFor(bytes: Int): Boolean = this == 0 || this + bytes <= windowBytes
}

/** Returns an empty body with a window of [windowBytes]. */
public fun windowedBodyOf(windowBytes: Int): WindowedBody {
    require(windowBytes > 0) { "windowBytes must be positive, was $windowBytes" }
    return WindowedBody(windowBytes)
}
