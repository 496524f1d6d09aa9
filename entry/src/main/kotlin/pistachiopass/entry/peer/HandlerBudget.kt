/** Bounds the number of handlers that run at the same time and the bytes of their messages. */
package pistachiopass.entry.peer

/** Counts running handlers and the bytes of their messages; thread-safe. */
internal class HandlerBudget(private val limits: PeerLimits) {
    private var running: Int = 0
    private var heldBytes: Long = 0

    /** Returns whether a handler for a message of [bytes] may start; if so, counts it as running. */
    @Synchronized
    fun tryAcquire(bytes: Int): Boolean {
        val fits = running < limits.handlers && heldBytes + bytes <= limits.handlerBytes
        if (fits) {
            running++
            heldBytes += bytes
        }
        return fits
    }

    /** Records that the handler of a message of [bytes] has ended. */
    @Synchronized
    fun release(bytes: Int) {
        running--
        heldBytes -= bytes
    }
}
