/** Copying of the events of one stream from an endpoint to the caller, in order and each exactly once. */
package pistachiopass.entry.stream

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import pistachiopass.entry.endpoint.SseEvent
import pistachiopass.entry.endpoint.readSseEventOrNull
import pistachiopass.entry.http.ByteSink
import pistachiopass.stream.ChunkSequencer
import pistachiopass.stream.EventIdWriter
import pistachiopass.stream.SequencerOutcome
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** Why copying stopped. */
internal enum class CopyOutcome {
    /** The whole response and its end marker were written to the caller. */
    COMPLETE,

    /** The endpoint's connection was lost, idle for too long or skipped a chunk; the stream can be resumed. */
    BROKEN,

    /** The caller accepted no byte within the stall limit. */
    STALLED,

    /** The deadline of the request passed. */
    TIMED_OUT,
}

/** Time limits of one copier. */
internal class CopyLimits(
    val idleMillis: Long,
    val stallMillis: Long,
    val arrivedAt: ComparableTimeMark,
    val deadline: ComparableTimeMark,
    /** Time that the request had taken before the caller resumed its stream. */
    val elapsedBeforeMillis: Long = 0,
)

/** Copies the stream of [sequencer] to [sink]; after a lost connection [run] may be called again with a new one. */
internal class StreamCopier(
    private val sequencer: ChunkSequencer<String>,
    private val ids: EventIdWriter,
    private val sink: ByteSink,
    private val limits: CopyLimits,
) {
    private var finished: Boolean = false

    /** Bytes written to the caller. */
    var sentBytes: Long = 0
        private set

    /** Offset of the next chunk that the caller needs. */
    val nextOffset: Long get() = sequencer.nextOffset

    /** Copies events from [input] until the stream ends or fails, and returns why. */
    suspend fun run(input: ByteReadChannel): CopyOutcome {
        var end: CopyOutcome? = null
        while (end == null) {
            val event = if (remainingMillis() > 0) readOrNull(input) else null
            end = when {
                event != null -> handle(event)
                remainingMillis() <= 0 -> CopyOutcome.TIMED_OUT
                else -> CopyOutcome.BROKEN
            }
        }
        return end
    }

    private suspend fun readOrNull(input: ByteReadChannel): SseEvent? =
        try {
            withTimeoutOrNull(minOf(limits.idleMillis, remainingMillis())) { input.readSseEventOrNull() }
        } catch (_: IOException) {
            null
        }

    private suspend fun handle(event: SseEvent): CopyOutcome? =
        if (event.data == END_OF_STREAM) handleEndMarker() else handleChunk(event)

    private suspend fun handleEndMarker(): CopyOutcome {
        if (!finished || sequencer.isMissingChunk) return CopyOutcome.BROKEN
        return if (send("data: $END_OF_STREAM\n\n")) CopyOutcome.COMPLETE else CopyOutcome.STALLED
    }

    private suspend fun handleChunk(event: SseEvent): CopyOutcome? {
        val streamId = event.id?.substringBeforeLast(':').orEmpty()
        val offset = event.id?.substringAfterLast(':')?.toLongOrNull() ?: MALFORMED_OFFSET
        return when (val outcome = sequencer.accept(streamId, offset, event.data)) {
            is SequencerOutcome.InOrder -> sendAll(outcome)
            SequencerOutcome.Gap, SequencerOutcome.OtherStream -> CopyOutcome.BROKEN
            SequencerOutcome.Held, SequencerOutcome.Duplicate -> null
        }
    }

    private suspend fun sendAll(outcome: SequencerOutcome.InOrder<String>): CopyOutcome? {
        val elapsedMillis = limits.elapsedBeforeMillis + limits.arrivedAt.elapsedNow().inWholeMilliseconds
        val text = buildString {
            outcome.chunks.forEachIndexed { index, data ->
                append("id: ").append(ids.idOf(outcome.firstOffset + index + 1, elapsedMillis))
                append("\ndata: ").append(data).append("\n\n")
            }
        }
        finished = finished || FINISH_REASON in outcome.chunks.last()
        return if (send(text)) null else CopyOutcome.STALLED
    }

    private suspend fun send(text: String): Boolean {
        val bytes = text.encodeToByteArray()
        withTimeoutOrNull(limits.stallMillis.milliseconds) { sink.write(bytes) } ?: return false
        sentBytes += bytes.size
        return true
    }

    private fun remainingMillis(): Long = -limits.deadline.elapsedNow().inWholeMilliseconds
}

private const val END_OF_STREAM: String = "[DONE]"
private const val FINISH_REASON: String = "\"finish_reason\":\""
private const val MALFORMED_OFFSET: Long = -1
