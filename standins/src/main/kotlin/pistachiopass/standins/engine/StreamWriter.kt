/**
 * Writes a stream to one reader as server-sent events.
 *
 * Tokens are a function of stream id and offset, so a reader needs no buffer: it writes from its own offset up to what
 * the stream has produced, and a slow reader holds nothing up.
 */
package pistachiopass.standins.engine

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.flow.first
import pistachiopass.standins.fault.FaultSwitches
import pistachiopass.standins.fault.SLOW
import pistachiopass.standins.fault.pace

/** Writes one stream to one reader; [nowMillis] tells the time for late chunks. */
internal class StreamWriter(
    private val output: ByteWriteChannel,
    private val stream: GenerationStream,
    private val faults: FaultSwitches,
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    private val lateChunks: MutableList<LateChunk> = mutableListOf()

    /** Writes all events from [fromOffset] on; leaves out the last ones when the stream was cancelled or lost. */
    suspend fun write(fromOffset: Int) {
        output.flush()
        var offset = fromOffset
        do {
            val progress = stream.progress.first { it.producedTokens > offset || it.end != null }
            while (offset < progress.producedTokens) {
                writeChunk(offset)
                offset++
            }
            writeDueChunks()
            output.flush()
        } while (progress.end == null)
        finish()
    }

    private suspend fun finish() {
        if (stream.progress.value.end != StreamEnd.FINISHED) return
        faults.pace()
        writeEvent(stream.request.maxTokens)
        lateChunks.forEach { writeEvent(it.offset) }
        output.writeStringUtf8("data: [DONE]\n\n")
        output.flush()
    }

    private suspend fun writeChunk(offset: Int) {
        if (faults[SLOW] != null) output.flush()
        faults.pace()
        val late = if (isChosen(offset)) faults.takeOrNull(LATE_CHUNKS) else null
        if (late != null) {
            lateChunks += LateChunk(offset, nowMillis() + late.millis)
            return
        }
        writeEvent(offset)
        if (isChosen(offset) && faults.takeOrNull(DUPLICATE_CHUNKS) != null) writeEvent(offset)
    }

    private suspend fun writeDueChunks() {
        val due = lateChunks.filter { it.dueMillis <= nowMillis() }
        lateChunks -= due.toSet()
        due.forEach { writeEvent(it.offset) }
    }

    private suspend fun writeEvent(offset: Int) {
        val chunk = ENGINE_JSON.encodeToString(stream.chunkAt(offset))
        output.writeStringUtf8("id: ${stream.streamId}:$offset\ndata: $chunk\n\n")
    }

    private fun isChosen(offset: Int): Boolean = offset % FAULTY_CHUNK_EVERY == 1

    private class LateChunk(val offset: Int, val dueMillis: Long)

    private companion object {
        const val FAULTY_CHUNK_EVERY = 4
    }
}
