/** The streams that an engine holds, and the ids of those that were cancelled. */
package pistachiopass.standins.engine

/** Holds the streams of one start of an engine; not safe for concurrent use. */
internal class StreamTable {
    private val streams: LinkedHashMap<String, GenerationStream> = LinkedHashMap()
    private val cancelled: LinkedHashSet<String> = LinkedHashSet()

    /** All held streams in the order of their arrival. */
    val all: Collection<GenerationStream> get() = streams.values

    /** Memory that all held streams use. */
    val usedTokens: Long get() = streams.values.sumOf { it.heldTokens }

    /** Adds a stream. */
    fun add(stream: GenerationStream) {
        streams[stream.streamId] = stream
    }

    /** Returns whether the stream is still held. */
    operator fun contains(stream: GenerationStream): Boolean = streams[stream.streamId] === stream

    /** Returns the stream, or null when it is not held. */
    fun streamOrNull(streamId: String): GenerationStream? = streams[streamId]

    /** Returns the newest stream of a request, or null. */
    fun streamOfRequestOrNull(requestId: String): GenerationStream? =
        streams.values.lastOrNull { it.request.requestId == requestId }

    /** Returns the streams in a state in the order of their arrival. */
    fun inState(state: StreamState): List<GenerationStream> = streams.values.filter { it.state == state }

    /** Removes a stream and remembers that it was cancelled. */
    fun cancel(stream: GenerationStream) {
        streams.remove(stream.streamId)
        if (stream.progress.value.end == null) stream.end(StreamEnd.CANCELLED)
        cancelled.add(stream.streamId)
        if (cancelled.size > REMEMBERED_CANCELLED) cancelled.remove(cancelled.first())
    }

    /** Returns whether a stream was cancelled. */
    fun wasCancelled(streamId: String): Boolean = streamId in cancelled

    /** Removes the streams whose retention has passed and returns when the next one passes, or null. */
    fun expire(nowMillis: Long): Long? {
        streams.values.removeIf { it.keptUntilMillis <= nowMillis }
        return streams.values.minOfOrNull { it.keptUntilMillis }?.takeIf { it != Long.MAX_VALUE }
    }

    /** Loses everything, as an engine does that falls over. */
    fun loseAll() {
        streams.values.filter { it.progress.value.end == null }.forEach { it.end(StreamEnd.LOST) }
        streams.clear()
        cancelled.clear()
    }

    private companion object {
        const val REMEMBERED_CANCELLED = 10_000
    }
}
