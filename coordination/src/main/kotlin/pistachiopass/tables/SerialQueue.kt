/** A queue of calls that run one after the other, in the order in which they were added, on the draining threads. */
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
     * Runs what has been added, or leaves it to the thread that is running calls already.
     *
     * A call that throws does not hold up the calls after it; the first exception is thrown at the end.
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

    /** Another thread that came during the round has left its calls to this one, so that one more round is due. */
    private fun finishRound(): Boolean {
        if (draining.compareAndSet(1, 0)) return true
        draining.set(1)
        return false
    }
}
