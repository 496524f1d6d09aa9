/** Limits of the peer protocol: sizes of frames and queues, numbers of calls, and time limits. */
package pistachiopass.entry.peer

/** Limits of one transport; whatever exceeds a limit is refused or closes the connection. */
public data class PeerLimits(
    /** Maximum size of a frame body, sent or received. */
    val frameBytes: Int = DEFAULT_FRAME_MEBIBYTES * MEBIBYTE_BYTES,
    /** Maximum number of frames that wait to be written on one connection. */
    val sendQueueFrames: Int = 1024,
    /** Maximum number of bytes that wait to be written on one connection; at least [frameBytes]. */
    val sendQueueBytes: Long = DEFAULT_QUEUE_MEBIBYTES * MEBIBYTE_BYTES,
    /** Maximum number of calls that wait for a response on one connection. */
    val pendingCalls: Int = 4096,
    /** Maximum number of handlers that run at the same time, for all peers together. */
    val handlers: Int = 4096,
    /** Maximum total size of the messages whose handlers run. */
    val handlerBytes: Long = DEFAULT_HANDLER_MEBIBYTES * MEBIBYTE_BYTES,
    /** Time without a write after which a keep-alive frame is sent. */
    val keepAliveMillis: Long = 2_000,
    /** Time without a received byte after which a connection is closed. */
    val readIdleMillis: Long = 5_000,
    /** Time limit for opening a connection, including handshakes. */
    val connectTimeoutMillis: Long = 1_500,
    /** Time limit for the handshake of an accepted connection. */
    val handshakeTimeoutMillis: Long = 2_000,
    /** Maximum number of accepted connections that have not completed their handshake. */
    val handshakes: Int = 64,
    /** Delay after the first failed connection attempt, before jitter. */
    val backoffMinMillis: Long = 100,
    /** Maximum delay after a failed connection attempt. */
    val backoffMaxMillis: Long = 5_000,
) {
    init {
        require(sendQueueBytes >= frameBytes) { "sendQueueBytes $sendQueueBytes is less than frameBytes $frameBytes" }
        require(readIdleMillis > keepAliveMillis) {
            "readIdleMillis $readIdleMillis must exceed keepAliveMillis $keepAliveMillis"
        }
    }
}

private const val DEFAULT_FRAME_MEBIBYTES: Int = 4
private const val DEFAULT_QUEUE_MEBIBYTES: Long = 16
private const val DEFAULT_HANDLER_MEBIBYTES: Long = 64
private const val MEBIBYTE_BYTES: Int = 1024 * 1024
