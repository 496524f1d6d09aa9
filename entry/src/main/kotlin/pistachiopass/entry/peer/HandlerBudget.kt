/** Bounds the number of handlers that run and the bytes of their messages. */
package pistachiopass.entry.peer

/** Counts running handlers; safe for use by many threads. */
internal class HandlerBudget(private val limits: PeerLimits) {
    private var running: Int = 0
    private var heldBytes: Long = 0

    /** Returns whether a handler for a message of [bytes] may start, and counts it if so. */
    @Synchronized
    fun tryAcquire(bytes: Int): Boolean {
        val fits = running < limits.handlers && heldBytes + bytes <= limits.handlerBytes
        if (fits) {
            running++
            heldBytes += bytes
        }
        return fits
    }

    /** Ends the handler of a message of [bytes]. */
    @Synchronized
    fun release(bytes: Int) {
        running--
        heldBytes -= bytes
    }
}
