/**
 * Relays a stream of server-sent events to a caller, from one endpoint or from several in succession.
 *
 * Only complete events are relayed. After a failure the stream may be continued by another endpoint: events that the
 * caller already has are dropped, and a continuation that leaves a gap after the last event is abandoned.
 */
package pistachiopass.gateway.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import pistachiopass.gateway.NANOS_PER_MILLI
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.ResponsePart
import pistachiopass.gateway.http.UpstreamConnection

/** How the part of a stream that one endpoint sent ended. */
internal enum class StreamEnd { WHOLE, BROKEN }

/** Relays a stream to a caller; [begin] is called before the first event. */
internal class StreamRelay(
    private val exchange: CallerExchange,
    private val begin: () -> Unit,
    resumedAfter: Long?,
) {
    /** Id of the last event that was relayed or that the caller had before, or null if neither is known. */
    var lastEventId: Long? = resumedAfter
        private set

    /** The response head and at least one event were sent. */
    var hasBegun: Boolean = false
        private set

    /** Longest time between two writes of events so far, in milliseconds; 0 before the second write. */
    var longestGapMillis: Long = 0
        private set

    private var lastWriteNanos = 0L

    /** Relays the response on [connection] until it ends; [onEvents] is called before each write of events. */
    suspend fun relay(connection: UpstreamConnection, onEvents: () -> Unit): StreamEnd =
        EventBuffer().use { buffer ->
            var end: StreamEnd? = null
            while (end == null) end = relayPart(connection.receive(), buffer, connection, onEvents)
            end
        }

    private suspend fun relayPart(
        part: ResponsePart,
        buffer: EventBuffer,
        connection: UpstreamConnection,
        onEvents: () -> Unit,
    ): StreamEnd? =
        when (part) {
            is ResponsePart.Data -> {
                buffer.add(part.bytes)
                if (forwardEvents(buffer, connection, onEvents)) null else StreamEnd.BROKEN
            }
            is ResponsePart.End -> if (buffer.hasPartialEvent) StreamEnd.BROKEN else StreamEnd.WHOLE
            is ResponsePart.Failed, is ResponsePart.Head -> StreamEnd.BROKEN
        }

    /** Relays the complete events of [buffer]; returns false if one is out of order, too long or no event. */
    private suspend fun forwardEvents(
        buffer: EventBuffer,
        connection: UpstreamConnection,
        onEvents: () -> Unit,
    ): Boolean {
        val events = Unpooled.buffer(buffer.size)
        var isInOrder = true
        var length = buffer.nextLengthOrNull()
        while (isInOrder && length != null) {
            isInOrder = takeEvent(buffer, length, events)
            length = buffer.nextLengthOrNull()
        }
        if (events.isReadable) write(events, connection, onEvents) else events.release()
        return isInOrder && buffer.size <= EVENT_MAX_BYTES
    }

    private fun takeEvent(buffer: EventBuffer, length: Int, target: ByteBuf): Boolean {
        val last = lastEventId ?: UNKNOWN_ID
        val id = buffer.idOrNull(length) ?: UNKNOWN_ID
        val areIdsKnown = id != UNKNOWN_ID && last != UNKNOWN_ID
        val isInOrder = !buffer.isResponseHead() && (!areIdsKnown || id <= last + 1)
        when {
            areIdsKnown && id <= last -> buffer.skip(length)
            isInOrder -> buffer.moveTo(target, length)
        }
        if (isInOrder && id > last) lastEventId = id
        return isInOrder
    }

    private suspend fun write(events: ByteBuf, connection: UpstreamConnection, onEvents: () -> Unit) {
        onEvents()
        val nowNanos = System.nanoTime()
        if (!hasBegun) {
            begin()
        } else {
            longestGapMillis = maxOf(longestGapMillis, (nowNanos - lastWriteNanos) / NANOS_PER_MILLI)
        }
        hasBegun = true
        lastWriteNanos = nowNanos
        if (exchange.isWritable) {
            exchange.write(events)
        } else {
            connection.setReading(false)
            exchange.write(events)
            connection.setReading(true)
        }
    }
}

/** Id of events without a numeric id; numeric ids are not negative. */
private const val UNKNOWN_ID: Long = -1

/** Longest incomplete event that is buffered; otherwise an endpoint could fill the memory of the instance. */
private const val EVENT_MAX_BYTES: Int = 256 * 1024
