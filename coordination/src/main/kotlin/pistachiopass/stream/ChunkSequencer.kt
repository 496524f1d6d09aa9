/**
 * Puts the chunks of one stream in order.
 *
 * Engines number chunks from 0. A chunk that comes twice is dropped, one that comes early is held in a bounded
 * window, and a chunk of another stream is told apart, so that no caller gets part of another's answer.
 */
package pistachiopass.stream

import java.util.TreeMap

/** Tells what became of a chunk. */
public sealed interface SequencerOutcome<out T> {
    /** These chunks are next in order, from [firstOffset] on. */
    public data class InOrder<T>(val firstOffset: Long, val chunks: List<T>) : SequencerOutcome<T>

    /** The chunk came early and is held. */
    public data object Held : SequencerOutcome<Nothing>

    /** The chunk came before and was dropped. */
    public data object Duplicate : SequencerOutcome<Nothing>

    /** The chunk belongs to another stream and was dropped. */
    public data object OtherStream : SequencerOutcome<Nothing>

    /** The window is full and a chunk is missing; take the stream up again at [ChunkSequencer.nextOffset]. */
    public data object Gap : SequencerOutcome<Nothing>
}

/** Orders the chunks of the stream [streamId] from [nextOffset] on; for use by one coroutine at a time. */
public class ChunkSequencer<T> internal constructor(
    public val streamId: String,
    nextOffset: Long,
    private val windowChunks: Int,
) {
    private val held: TreeMap<Long, T> = TreeMap()

    /** The offset of the next chunk wanted. */
    public var nextOffset: Long = nextOffset
        private set

    /** Whether chunks are held that wait for an earlier one. */
    public val isMissingChunk: Boolean get() = held.isNotEmpty()

    /** Takes one chunk as it came. */
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

/** Returns a sequencer that holds at most [windowChunks] chunks that come early. */
public fun <T> chunkSequencerOf(
    streamId: String,
    nextOffset: Long = 0,
    windowChunks: Int = DEFAULT_WINDOW_CHUNKS,
): ChunkSequencer<T> {
    require(nextOffset >= 0) { "nextOffset must not be negative, was $nextOffset" }
    require(windowChunks > 0) { "windowChunks must be positive, was $windowChunks" }
    return ChunkSequencer(streamId, nextOffset, windowChunks)
}

/** Chunks that a sequencer holds, unless stated otherwise. */
public const val DEFAULT_WINDOW_CHUNKS: Int = 64
