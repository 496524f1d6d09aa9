/**
 * Log of events, written as JSON lines.
 *
 * A line holds the time, the level, the name and number of the event, the request id if there is one, and the named
 * fields. It holds no free text: an [EventField] can hold only an identifier, a number or a short token.
 */
package pistachiopass.entry.logging

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import org.apache.logging.log4j.message.MapMessage
import pistachiopass.model.RequestId

/** Receives events; the companion object writes them to the log of the process. */
public fun interface EventLog {
    /** Writes one line for [event], which concerns the request [requestId] unless that is null. */
    public fun write(event: Event, requestId: RequestId?, fields: List<EventField>)

    public companion object : EventLog by log4jEventLogOf(LogManager.getLogger(EVENT_LOGGER))
}

/** Writes [event] with [fields]. */
public fun EventLog.log(event: Event, vararg fields: EventField): Unit = write(event, null, fields.asList())

/** Writes [event], which concerns the request [requestId], with [fields]. */
public fun EventLog.log(event: Event, requestId: RequestId, vararg fields: EventField): Unit =
    write(event, requestId, fields.asList())

/** Name of the logger of events. */
public const val EVENT_LOGGER: String = "pistachiopass.event"

internal fun log4jEventLogOf(logger: Logger): EventLog =
    EventLog { event, requestId, fields ->
        if (logger.isEnabled(event.level)) logger.log(event.level, eventMessageOf(event, requestId, fields))
    }

private class EventMessage(properties: Map<String, Any>) : MapMessage<EventMessage, Any>(properties)

private fun eventMessageOf(event: Event, requestId: RequestId?, fields: List<EventField>): EventMessage {
    val properties = LinkedHashMap<String, Any>()
    properties["event"] = event.text
    properties["number"] = event.number
    requestId?.let { properties["requestId"] = safeToken(it.value) }
    fields.forEach { properties[it.name] = it.value }
    return EventMessage(properties)
}
