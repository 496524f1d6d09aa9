/**
 * Reordering of the chunks of one stream.
 *
 * Engines number chunks from 0. A duplicate chunk is dropped, one that arrives early is buffered in a bounded window,
 * and a chunk of another stream is dropped, so that no caller receives part of another caller's answer.
 */
package pistachiopass.stream

import java.util.TreeMap

/** What was done with a chunk. */
public sealed interface SequencerOutcome<out T> {
    /** The chunk and any buffered ones that follow it are the next in order, starting at [firstOffset]. */
    public data class InOrder<T>(val firstOffset: Long, val chunks: List<T>) : SequencerOutcome<T>

    /** The chunk arrived early and is buffered. */
    public data object Held : SequencerOutcome<Nothing>

    /** The chunk had arrived before and was dropped. */
    public data object Duplicate : SequencerOutcome<Nothing>

    /** The chunk belongs to another stream and was dropped. */
    public data object OtherStream : SequencerOutcome<Nothing>

    /** A chunk is missing and the window is full; the stream must be resumed at [ChunkSequencer.nextOffset]. */
    public data object Gap : SequencerOutcome<Nothing>
}

/** Orders the chunks of the stream [streamId], starting at [nextOffset]; not thread-safe. */
public class ChunkSequencer<T> internal constructor(
    public val streamId: String,
    nextOffset: Long,
    private val windowChunks: Int,
) {
    private val held: TreeMap<Long, T> = TreeMap()

    /** The offset of the next expected chunk. */
    public var nextOffset: Long = nextOffset
        private set

    /** Whether buffered chunks wait for an earlier one. */
    public val isMissingChunk: Boolean get() = held.isNotEmpty()

    /** Processes a chunk in the order of arrival. */
    public fun accept(chunkStreamId: String, offset: Long, chunk: T): SequencerOutcome<T> =
        when {
            chunkStreamId != streamId -> SequencerOutcome.OtherStream
            offset < nextOffset || offset in held -> SequencerOutcome.Duplicate
            offset == nextOffset -> release(chunk)
            held.size >= windowChunks -> SequencerOutcome.Gap
            else -> {
                held[offset] = chunk
                SequencerOutcome.Held
            }
        }

    private fun release(chunk: T): SequencerOutcome<T> {
        val firstOffset = nextOffset
        val chunks = mutableListOf(chunk)
        nextOffset++
        while (held.isNotEmpty() && held.firstKey() == nextOffset) {
            chunks += held.pollFirstEntry().value
            nextOffset++
        }
        return SequencerOutcome.InOrder(firstOffset, chunks)
    }
}

/** Returns a sequencer that buffers at most [windowChunks] chunks that arrive early. */
public fun <T> chunkSequencerOf(
    streamId: String,
    nextOffset: Long = 0,
    windowChunks: Int = DEFAULT_WINDOW_CHUNKS,
): ChunkSequencer<T> {
    require(nextOffset >= 0) { "nextOffset must not be negative, was $nextOffset" }
    require(windowChunks > 0) { "windowChunks must be positive, was $windowChunks" }
    return ChunkSequencer(streamId, nextOffset, windowChunks)
}

/** Default number of chunks that a sequencer buffers. */
public const val DEFAULT_WINDOW_CHUNKS: Int = 64
