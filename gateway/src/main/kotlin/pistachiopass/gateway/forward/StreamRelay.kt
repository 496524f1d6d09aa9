/**
 * Passes a stream of server-sent events on, event by event, over as many endpoints as it takes.
 *
 * Only whole events are passed on. After a break the stream may be continued at another endpoint: events that the
 * caller already has are left out, and a continuation that does not follow on the last event is given up.
 */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.Part
import pistachiopass.gateway.http.UpstreamConnection

/** Tells how one endpoint's part of a stream ended. */
internal enum class StreamEnd { WHOLE, BROKEN }

/** Relays one stream to one caller. */
internal class StreamRelay(
    private val exchange: CallerExchange,
    private val begin: () -> Unit,
    resumedAfter: Long?,
) {
    /** Id of the last event that was passed on, or that the caller had before. */
    var lastEventId: Long? = resumedAfter
        private set

    /** The head and at least one event have been passed on. */
    var hasBegun: Boolean = false
        private set

    private var pending: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Passes on what [connection] delivers until its answer ends. */
    suspend fun relay(connection: UpstreamConnection, onEvent: () -> Unit): StreamEnd {
        pending = Unpooled.buffer(PENDING_BYTES)
        try {
            while (true) {
                when (val part = connection.receive()) {
                    is Part.Data -> {
                        pending.writeBytes(part.bytes)
                        part.bytes.release()
                        if (!passOn(connection, onEvent)) return StreamEnd.BROKEN
                    }
                    is Part.End -> return if (pending.isReadable) StreamEnd.BROKEN else StreamEnd.WHOLE
                    is Part.Broken -> return StreamEnd.BROKEN
                    is Part.Head -> return StreamEnd.BROKEN
                }
            }
        } finally {
            pending.release()
        }
    }

    private suspend fun passOn(connection: UpstreamConnection, onEvent: () -> Unit): Boolean {
        val whole = Unpooled.buffer(pending.readableBytes())
        var isInOrder = true
        while (isInOrder) {
            val length = pending.eventLengthOrNull() ?: break
            val id = pending.eventIdOrNull(length)
            val last = lastEventId
            when {
                id == null || last == null || id == last + 1 -> pending.readBytes(whole, length)
                id <= last -> pending.skipBytes(length)
                else -> isInOrder = false
            }
            if (isInOrder && id != null && (last == null || id > last)) lastEventId = id
        }
        pending.discardSomeReadBytes()
        if (whole.isReadable) write(whole, connection, onEvent) else whole.release()
        return isInOrder && pending.readableBytes() <= EVENT_MAX_BYTES
    }

    private suspend fun write(events: ByteBuf, connection: UpstreamConnection, onEvent: () -> Unit) {
        if (!hasBegun) begin()
        hasBegun = true
        onEvent()
        if (!exchange.isWritable) connection.setReading(false)
        exchange.write(events)
        connection.setReading(true)
    }
}

/** Returns the length of the first event including the blank line that ends it, or null if it is not whole. */
internal fun ByteBuf.eventLengthOrNull(): Int? {
    var position = readerIndex()
    while (true) {
        val lineEnd = indexOf(position, writerIndex(), LINE_FEED)
        if (lineEnd < 0) return null
        val isBlank = lineEnd == position || (lineEnd == position + 1 && getByte(position) == CARRIAGE_RETURN)
        if (isBlank && position > readerIndex()) return lineEnd + 1 - readerIndex()
        position = lineEnd + 1
    }
}

/** Returns the number in the `id` line of the event in the first [length] bytes, or null. */
internal fun ByteBuf.eventIdOrNull(length: Int): Long? =
    toString(readerIndex(), length, Charsets.ISO_8859_1)
        .lineSequence()
        .firstOrNull { it.startsWith("id:") }
        ?.removePrefix("id:")
        ?.trim()
        ?.toLongOrNull()

private const val LINE_FEED: Byte = '\n'.code.toByte()
private const val CARRIAGE_RETURN: Byte = '\r'.code.toByte()
private const val PENDING_BYTES: Int = 4 * 1024

/** Longest event that is held; an endpoint must not fill the instance's memory. */
private const val EVENT_MAX_BYTES: Int = 256 * 1024
