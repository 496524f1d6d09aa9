/** Splits the bytes of a stream into complete server-sent events. */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import pistachiopass.gateway.http.beginsWithStatusLine

/** Buffers received bytes until they form complete events. */
internal class EventBuffer : AutoCloseable {
    private val bytes: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    // Where the search for the end of the first event goes on, so that no byte is searched again with each addition.
    private var lineOffset = 0
    private var searchedBytes = 0

    /** Is true if bytes are buffered; after all complete events were taken, these belong to an incomplete one. */
    val hasPartialEvent: Boolean get() = bytes.isReadable

    val size: Int get() = bytes.readableBytes()

    /** Appends [more] and releases it. */
    fun add(more: ByteBuf) {
        bytes.discardSomeReadBytes()
        bytes.writeBytes(more)
        more.release()
    }

    /** Returns the length of the next event with the blank line that ends it, or null if it is incomplete. */
    fun nextLengthOrNull(): Int? {
        val start = bytes.readerIndex()
        var lineStart = start + lineOffset
        var lineEnd = bytes.indexOf(start + searchedBytes, bytes.writerIndex(), LINE_FEED)
        while (lineEnd >= 0) {
            if (isBlank(lineStart, lineEnd) && lineStart > start) {
                continueSearchAt(lineOffset = 0, searchedBytes = 0)
                return lineEnd + 1 - start
            }
            lineStart = lineEnd + 1
            lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), LINE_FEED)
        }
        continueSearchAt(lineStart - start, bytes.readableBytes())
        return null
    }

    private fun continueSearchAt(lineOffset: Int, searchedBytes: Int) {
        this.lineOffset = lineOffset
        this.searchedBytes = searchedBytes
    }

    /** Returns the numeric `id` of the event in the next [length] bytes, or null if it has none. */
    fun idOrNull(length: Int): Long? =
        bytes.toString(bytes.readerIndex(), length, Charsets.ISO_8859_1)
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    /** Returns whether the next event is the head of a response, which was written into the stream. */
    fun isResponseHead(): Boolean = beginsWithStatusLine(bytes)

    /** Moves the next [length] bytes to [target]. */
    fun moveTo(target: ByteBuf, length: Int) {
        bytes.readBytes(target, length)
    }

    /** Discards the next [length] bytes. */
    fun skip(length: Int) {
        bytes.skipBytes(length)
    }

    override fun close() {
        bytes.release()
    }

    private fun isBlank(lineStart: Int, lineEnd: Int): Boolean =
        lineEnd == lineStart || (lineEnd == lineStart + 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN)
}

private const val ID_FIELD: String = "id:"
private const val LINE_FEED: Byte = '\n'.code.toByte()
private const val CARRIAGE_RETURN: Byte = '\r'.code.toByte()
private const val INITIAL_BYTES: Int = 4 * 1024
