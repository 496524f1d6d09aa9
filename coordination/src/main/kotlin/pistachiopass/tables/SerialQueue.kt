/** A queue of calls that run one at a time, in the order in which they were added, on the threads that drain it. */
package pistachiopass.tables

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Runs added calls one at a time; a call may add further calls. */
internal class SerialQueue {
    private val calls = ConcurrentLinkedQueue<() -> Unit>()
    private val draining = AtomicInteger()

    fun add(call: () -> Unit) {
        calls += call
    }

    /**
     * Runs the added calls, or leaves them to another thread that is already running calls.
     *
     * A call that throws does not prevent the calls after it; the first exception is thrown again at the end.
     */
    fun drain() {
        if (draining.getAndIncrement() != 0) return
        var failure: Throwable? = null
        do {
            var call = calls.poll()
            while (call != null) {
                failure = runCatching(call).exceptionOrNull()?.let { failure ?: it } ?: failure
                call = calls.poll()
            }
        } while (!finishRound())
        failure?.let { throw it }
    }

    /** Returns false if another thread called [drain] meanwhile: its calls must then run in one more round. */
    private fun finishRound(): Boolean {
        if (draining.compareAndSet(1, 0)) return true
        draining.set(1)
        return false
    }
}
