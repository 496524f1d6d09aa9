/** Cuts the bytes of a connection into frames of bounded size. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.nio.ByteBuffer

/** Tells why a connection gives no further frame. */
internal enum class FrameError {
    /** The peer closed the connection. */
    ENDED,

    /** The stated length is negative or exceeds the limit. */
    OVERSIZED,

    /** The code does not match. */
    TAMPERED,

    /** The body is no frame. */
    MALFORMED,

    /** No byte came within the read-idle limit. */
    SILENT,
}

/** Reads frames from [connection]; [onBytes] is called whenever bytes have come. */
internal class FrameReader(private val connection: ByteConnection, private val onBytes: () -> Unit = {}) {
    /** Returns the next frame's bytes without the length, which may be [limitBytes] at most. */
    suspend fun read(limitBytes: Int): Result<ByteArray, FrameError> {
        return readBytes(LENGTH_BYTES).flatMap { prefix ->
            val lengthBytes = ByteBuffer.wrap(prefix).getInt()
            if (lengthBytes in 0..limitBytes) readBytes(lengthBytes) else Err(FrameError.OVERSIZED)
        }
    }

    private suspend fun readBytes(lengthBytes: Int): Result<ByteArray, FrameError> {
        val bytes = ByteArray(lengthBytes)
        var filled = 0
        while (filled < lengthBytes) {
            val count = connection.read(bytes, filled, lengthBytes - filled)
            if (count < 0) return Err(FrameError.ENDED)
            if (count > 0) onBytes()
            filled += count
        }
        return Ok(bytes)
    }
}
