/** An authenticated connection: reading and writing of frames, keep-alive frames and the read-idle limit. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends and receives the frames of [channel]; used by the client and by the server side of the protocol. */
internal class PeerSession(
    private val channel: AuthenticatedChannel,
    private val limits: PeerLimits,
    private val clock: TimeSource.WithComparableMarks,
) {
    /** The authenticated peer. */
    val peer = channel.peer

    private val queue: SendQueue = SendQueue(limits)
    private val end: AtomicReference<FrameError?> = AtomicReference()

    @Volatile
    private var lastRead: ComparableTimeMark = clock.markNow()

    @Volatile
    private var lastWrite: ComparableTimeMark = clock.markNow()

    /** Whether frames can still be queued. */
    val isOpen: Boolean get() = end.get() == null

    /** Queues [frame]; returns false when the queue is full or the session has ended. */
    fun offer(frame: OutboundFrame): Boolean = isOpen && queue.offer(frame)

    /** Ends the session; only the first [cause] is kept. */
    fun close(cause: FrameError) {
        end.compareAndSet(null, cause)
        queue.close()
        channel.connection.close()
    }

    /** Runs until the connection ends and returns the cause; [onFrame] gets each received frame and must not block. */
    suspend fun run(onFrame: (Frame) -> Unit): FrameError {
        try {
            coroutineScope {
                launch { writeFrames() }
                launch { watch() }
                readFrames(onFrame)
                coroutineContext.cancelChildren()
            }
        } finally {
            close(FrameError.ENDED)
        }
        return end.get() ?: FrameError.ENDED
    }

    private suspend fun readFrames(onFrame: (Frame) -> Unit) {
        val reader = FrameReader(channel.connection) { lastRead = clock.markNow() }
        while (isOpen) {
            nextFrame(reader).onSuccess(onFrame).onFailure(::close)
        }
    }

    private suspend fun nextFrame(reader: FrameReader): Result<Frame, FrameError> = try {
        reader.read(limits.frameBytes + MAC_BYTES).flatMap { signed ->
            val body = channel.verifier.verifyOrNull(signed)
            when (val frame = body?.let(::decodeFrameOrNull)) {
                null -> Err(if (body == null) FrameError.TAMPERED else FrameError.MALFORMED)
                else -> Ok(frame)
            }
        }
    } catch (_: IOException) {
        Err(FrameError.ENDED)
    }

    private suspend fun writeFrames() {
        try {
            while (isOpen) {
                val frame = queue.take()
                channel.connection.write(channel.signer.sign(frame.body))
                lastWrite = clock.markNow()
            }
        } catch (_: IOException) {
            close(FrameError.ENDED)
        } catch (_: ClosedReceiveChannelException) {
            close(FrameError.ENDED)
        }
    }

    private suspend fun watch() {
        val tickMillis = maxOf(1, limits.keepAliveMillis / WATCH_TICKS_PER_KEEP_ALIVE)
        while (currentCoroutineContext().isActive) {
            delay(tickMillis)
            if (lastWrite.elapsedNow() >= limits.keepAliveMillis.milliseconds) {
                lastWrite = clock.markNow()
                offer(OutboundFrame(encodeFrame(Frame.KeepAlive)))
            }
            if (lastRead.elapsedNow() > limits.readIdleMillis.milliseconds) close(FrameError.SILENT)
        }
    }
}

private const val WATCH_TICKS_PER_KEEP_ALIVE: Long = 4
