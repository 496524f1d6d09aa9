/** Bounds of the peer protocol: sizes of frames and queues, numbers of calls, and time limits. */
package pistachiopass.entry.peer

/** Holds the bounds of one transport; each is a refusal or a closed connection when it is reached, never growth. */
public data class PeerLimits(
    /** Longest body of a frame, either way. */
    val frameBytes: Int = DEFAULT_FRAME_MEBIBYTES * MEBIBYTE_BYTES,
    /** Frames that wait to be written on one connection. */
    val sendQueueFrames: Int = 1024,
    /** Bytes that wait to be written on one connection; at least [frameBytes]. */
    val sendQueueBytes: Long = DEFAULT_QUEUE_MEBIBYTES * MEBIBYTE_BYTES,
    /** Calls that wait for a response on one connection. */
    val pendingCalls: Int = 4096,
    /** Handlers that run at a time for all peers together. */
    val handlers: Int = 4096,
    /** Bytes of the messages whose handlers run. */
    val handlerBytes: Long = DEFAULT_HANDLER_MEBIBYTES * MEBIBYTE_BYTES,
    /** Longest time without a write before a keep-alive frame is sent. */
    val keepAliveMillis: Long = 2_000,
    /** Longest time without a received byte before a connection is given up. */
    val readIdleMillis: Long = 5_000,
    /** Longest time to open a connection, handshakes included. */
    val connectTimeoutMillis: Long = 1_500,
    /** Longest time that an accepted connection may take to authenticate. */
    val handshakeTimeoutMillis: Long = 2_000,
    /** Accepted connections that are not authenticated yet. */
    val handshakes: Int = 64,
    /** Shortest pause after a failed attempt to connect. */
    val backoffMinMillis: Long = 100,
    /** Longest pause after a failed attempt to connect. */
    val backoffMaxMillis: Long = 5_000,
) {
    init {
        require(sendQueueBytes >= frameBytes) { "sendQueueBytes $sendQueueBytes is less than frameBytes $frameBytes" }
        require(readIdleMillis > keepAliveMillis) { "readIdleMillis $readIdleMillis must exceed $keepAliveMillis" }
    }
}

private const val DEFAULT_FRAME_MEBIBYTES: Int = 4
private const val DEFAULT_QUEUE_MEBIBYTES: Long = 16
private const val DEFAULT_HANDLER_MEBIBYTES: Long = 64
private const val MEBIBYTE_BYTES: Int = 1024 * 1024
