/** How far the response to one attempt has come. */
package pistachiopass.gateway.forward

import pistachiopass.gateway.NANOS_PER_MILLI
import pistachiopass.gateway.http.ConnectionFailure

/** How a response ended that is not complete. */
internal class BrokenResponse(
    /** Null if the connection was still open: the endpoint was silent, or what it sent was not a valid response. */
    val failure: ConnectionFailure?,
    val hasHead: Boolean,
    /** Time since the request was sent. */
    val sentMillis: Long,
    /** Time since the first event of a stream; null if there was none. */
    val decodeMillis: Long?,
)

/** Progress of an attempt whose request is sent now. */
internal class AttemptProgress {
    private val sentNanos = System.nanoTime()
    private var firstDataNanos: Long? = null

    /** Whether the head of the response was received. */
    var hasHead: Boolean = false

    /** Records that the first event, or the whole body, was received. */
    fun onFirstData() {
        firstDataNanos = System.nanoTime()
    }

    /** Returns the time since the request was sent. */
    fun sentMillis(): Long = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI

    /** Returns the state in which the response broke off, with the [failure] of its connection. */
    fun broken(failure: ConnectionFailure?): BrokenResponse = BrokenResponse(
        failure,
        hasHead,
        sentMillis(),
        decodeMillis = firstDataNanos?.let { (System.nanoTime() - it) / NANOS_PER_MILLI },
    )
}
