/** Checks the lines that the configured layouts write, and that no text of a body can get into them. */
package pistachiopass.entry.logging

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.Appender
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.WriterAppender
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.assertThrows
import pistachiopass.entry.casesOf
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId
import java.io.StringWriter
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventLogTest {
    @Test
    fun `a line holds number, name, request id and typed fields`() {
        val line = captured("events", EVENT_LOGGER) {
            EventLog.log(
                Event.REQUEST_FAILED,
                RequestId("r-1"),
                field("route", RouteName("drape")),
                field("version", TableVersion(7)),
                field("verdict", Verdict.NOT_RUN),
                field("last", true),
            )
        }
        val expected = """{"level":"WARN","event":"request-failed","last":true,"number":3011,"requestId":"r-1",""" +
            """"route":"drape","verdict":"not run","version":7}"""
        assertEquals(Json.parseToJsonElement(expected), JsonObject(Json.parseToJsonElement(line).jsonObject - "time"))
    }

    @TestFactory
    fun `text that may be a prompt or a key is hidden`() =
        casesOf(secretFields) { field ->
            val line = captured("events", EVENT_LOGGER) {
                EventLog.log(Event.REQUEST_FINISHED, RequestId(PROMPT), field)
            }
            assertFalse(PROMPT in line || KEY in line, line)
        }

    @Test
    fun `a library line holds the class of an exception but no message`() {
        val line = captured("libraries", "io.ktor.test") {
            val exception = IllegalStateException(PROMPT).apply { stackTrace = emptyArray() }
            LogManager.getLogger("io.ktor.test").error("$PROMPT {}", KEY, exception)
        }
        val written = Json.parseToJsonElement(line).jsonObject["exception"]
        assertEquals(JsonPrimitive("java.lang.IllegalStateException"), written)
        assertFalse(PROMPT in line || KEY in line, line)
    }

    @Test
    fun `an exception is written with class and origin`() {
        val value = field("error", IllegalStateException(PROMPT)).toString()
        assertTrue(value.matches(Regex("error=java.lang.IllegalStateException at EventLogTest.kt:\\d+")), value)
    }

    @Test
    fun `field names that are reserved or malformed are rejected`() {
        listOf("event", "number", "requestId", "time", "level", "Route", "a b").forEach {
            assertThrows<IllegalArgumentException> { field(it, 1) }
        }
    }

    private fun captured(appender: String, logger: String, block: () -> Unit): String {
        val config = (LogManager.getContext(false) as LoggerContext).configuration
        val writer = StringWriter()
        val layout = config.getAppender<Appender>(appender).layout
        val capture = WriterAppender.newBuilder().setName("capture").setTarget(writer).setLayout(layout).build()
        capture.start()
        val target = config.getLoggerConfig(logger)
        target.addAppender(capture, null, null)
        try {
            block()
        } finally {
            target.removeAppender("capture")
        }
        return writer.toString()
    }

    companion object {
        private const val PROMPT = "Write a condolence card for the family of Jan"
        private const val KEY = "c2VjcmV0c2VjcmV0c2VjcmV0c2VjcmV0c2VjcmV0c2VjcmV0"

        private val secretFields: List<EventField> = listOf(
            tokenField("reason", PROMPT),
            tokenField("reason", KEY),
            field("workspace", WorkspaceId(PROMPT)),
            field("route", RouteName(KEY)),
            field("error", IllegalStateException(PROMPT)),
            fingerprintField("key", KEY),
        )
    }
}
