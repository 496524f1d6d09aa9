/** A bounded queue of frames that wait to be written on one connection. */
package pistachiopass.entry.peer

import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** A queued frame; either the writer claims it or the sender withdraws it, never both. */
internal class OutboundFrame(val body: ByteArray) {
    private enum class State { QUEUED, CLAIMED, WITHDRAWN }

    private val state: AtomicReference<State> = AtomicReference(State.QUEUED)

    /** Returns whether the writer may write this frame; after that, bytes of it may have been sent. */
    fun claim(): Boolean = state.compareAndSet(State.QUEUED, State.CLAIMED)

    /** Withdraws this frame unless it was claimed; returns whether no byte of it was or will be written. */
    fun withdraw(): Boolean = state.compareAndSet(State.QUEUED, State.WITHDRAWN) || state.get() == State.WITHDRAWN
}

/** Queues frames up to limits on their number and total bytes; safe for many senders and one writer. */
internal class SendQueue(limits: PeerLimits) {
    private val capacityBytes: Long = limits.sendQueueBytes
    private val queuedBytes: AtomicLong = AtomicLong()
    private val frames: Channel<OutboundFrame> = Channel(limits.sendQueueFrames)

    /** Returns whether [frame] was queued; false when the queue is full or closed. */
    fun offer(frame: OutboundFrame): Boolean {
        val size = frame.body.size.toLong()
        val fits = queuedBytes.addAndGet(size) <= capacityBytes && frames.trySend(frame).isSuccess
        if (!fits) queuedBytes.addAndGet(-size)
        return fits
    }

    /** Returns the next frame to write, already claimed; suspends while there is none. */
    suspend fun take(): OutboundFrame {
        while (true) {
            val frame = frames.receive()
            queuedBytes.addAndGet(-frame.body.size.toLong())
            if (frame.claim()) return frame
        }
    }

    /** Refuses further frames. */
    fun close() {
        frames.close()
    }
}
