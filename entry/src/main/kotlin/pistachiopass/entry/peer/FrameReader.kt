/** Splits the bytes of a connection into length-prefixed frames of bounded size. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.nio.ByteBuffer

/** The reason why no further frame can be read from a connection. */
internal enum class FrameError {
    /** The peer closed the connection. */
    ENDED,

    /** The length prefix is negative or exceeds the limit. */
    OVERSIZED,

    /** The message authentication code does not match. */
    TAMPERED,

    /** The body cannot be decoded as a frame. */
    MALFORMED,

    /** No byte was received within the time limit. */
    SILENT,
}

/** Reads frames from [connection]; [onBytes] is called whenever bytes are received. */
internal class FrameReader(private val connection: ByteConnection, private val onBytes: () -> Unit = {}) {
    /** Returns the next frame without its length prefix; a frame longer than [limitBytes] is an error. */
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
