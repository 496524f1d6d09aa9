/** Request bodies, each read once and held in memory once, within the memory budget. */
package pistachiopass.entry.body

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import java.io.ByteArrayOutputStream

/** Request body whose memory is reserved until [close]. */
public class RequestBody internal constructor(
    public val bytes: ByteArray,
    private val reservedBytes: Long,
    private val memory: MemoryBudget,
) : AutoCloseable {
    override fun close(): Unit = memory.release(reservedBytes)
}

/** Reads bodies of at most [maxBodyBytes] within the budget [memory]. */
public class BodyReader(private val maxBodyBytes: Long, private val memory: MemoryBudget) {
    /** Reads the whole body; [declaredBytes] is its content length, or null if the caller did not state one. */
    public suspend fun read(channel: ByteReadChannel, declaredBytes: Long?): Result<RequestBody, Failure> {
        val reservation = Reservation(memory)
        var complete = false
        try {
            val failure = tooLargeOrNull(declaredBytes ?: 0) ?: reservation.grow(declaredBytes ?: 0)
            val outcome = if (failure == null) readReserved(channel, reservation) else Err(failure)
            complete = outcome.isOk
            return outcome
        } finally {
            if (!complete) reservation.release()
        }
    }

    private suspend fun readReserved(channel: ByteReadChannel, reservation: Reservation): Result<RequestBody, Failure> {
        val buffer = ByteArrayOutputStream(reservation.bytes.toInt().coerceAtLeast(READ_BUFFER_BYTES))
        val block = ByteArray(READ_BUFFER_BYTES)
        var failure: Failure? = null
        while (failure == null) {
            val count = channel.readAvailable(block)
            if (count < 0) break
            buffer.write(block, 0, count)
            failure = reservation.growTo(buffer.size().toLong()) ?: tooLargeOrNull(buffer.size().toLong())
        }
        return failure?.let { Err(it) } ?: Ok(RequestBody(buffer.toByteArray(), reservation.bytes, memory))
    }

    private fun tooLargeOrNull(bytes: Long): Failure? {
        if (bytes <= maxBodyBytes) return null
        val message = "body of at least $bytes bytes exceeds the limit of $maxBodyBytes bytes"
        return Failure(FailureCode.PROMPT_TOO_LARGE, Verdict.NOT_RUN, message)
    }
}

private class Reservation(private val memory: MemoryBudget) {
    var bytes: Long = 0
        private set

    fun growTo(total: Long): Failure? = if (total > bytes) grow(total - bytes) else null

    fun grow(more: Long): Failure? {
        if (!memory.tryReserve(more)) return memoryFull(memory)
        bytes += more
        return null
    }

    fun release() = memory.release(bytes)
}

private fun memoryFull(memory: MemoryBudget): Failure = Failure(
    FailureCode.OVERLOADED,
    Verdict.NOT_RUN,
    "memory for requests is full: ${memory.heldBytes} of ${memory.limitBytes} bytes are reserved",
    retryAfterMillis = MEMORY_RETRY_AFTER_MILLIS,
)

private const val READ_BUFFER_BYTES: Int = 16 * 1024
private const val MEMORY_RETRY_AFTER_MILLIS: Long = 1_000
