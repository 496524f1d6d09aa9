/** Layout of log lines: one JSON object for each event, and for each message of a library without its text. */
package pistachiopass.gateway.logging

import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import org.apache.logging.log4j.message.MapMessage
import org.apache.logging.log4j.message.StringMapMessage
import java.time.Instant

internal object EventLayout : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String {
        val message = event.message as? MapMessage<*, *> ?: libraryMessageOf(event)
        val json = message.getFormattedMessage(JSON)
        val time = Instant.ofEpochMilli(event.timeMillis)
        return """{"time":"$time","level":"${event.level}",${json.substring(1)}""" + "\n"
    }

    /** The text of a library's message may hold bytes of a request, so only its origin and exception are written. */
    private fun libraryMessageOf(event: LogEvent): MapMessage<*, *> {
        val message = StringMapMessage().with("logger", event.loggerName)
        event.thrown?.let { message.with("exception", it.javaClass.name) }
        event.thrown?.stackTrace?.take(STACK_FRAMES)?.let { message.with("stackTrace", it.joinToString(" < ")) }
        return message
    }

    override fun getContentType(): String = "application/json"
}

private val JSON = arrayOf("JSON")
private const val STACK_FRAMES = 20
