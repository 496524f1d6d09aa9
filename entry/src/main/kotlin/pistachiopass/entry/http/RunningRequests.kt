/** Count of the requests whose response is not complete yet. */
package pistachiopass.entry.http

import java.util.concurrent.atomic.AtomicInteger

/** Counts requests from their arrival until the last byte of their response, refusals included. */
public class RunningRequests {
    private val running: AtomicInteger = AtomicInteger()

    /** Number of requests that have not ended yet. */
    public val count: Int get() = running.get()

    /** Counts one request while [block] handles it. */
    public suspend fun track(block: suspend () -> Unit) {
        running.incrementAndGet()
        try {
            block()
        } finally {
            running.decrementAndGet()
        }
    }
}
