/** Tests against a server on raw sockets that no booking is sent twice and that each verdict is right. */
package pistachiopass.entry.booking

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.booking.BookingOutcome
import pistachiopass.booking.verdict
import pistachiopass.entry.casesOf
import pistachiopass.entry.peer.awaitUntil
import pistachiopass.model.Verdict
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointBookingSenderTest {
    @TestFactory
    fun `a truncated request is not sent again and may have run`(): List<DynamicTest> =
        casesOf(requestCuts()) { script -> assertSentOnce(script, Verdict.MAY_HAVE_RUN) }

    @TestFactory
    fun `a booking whose answer is truncated at any byte may have run`(): List<DynamicTest> = casesOf(
        listOf(LENGTH_ANSWER, CHUNKED_ANSWER).flatMap { whole ->
            (whole.indices - chunkEndsOf(whole)).flatMap { count ->
                listOf(End.CLOSE, End.RESET).map { end ->
                    Script("$count of ${whole.size} bytes, then $end", answer = whole.copyOf(count), end = end)
                }
            }
        },
    ) { script -> assertSentOnce(script, Verdict.MAY_HAVE_RUN) }

    @TestFactory
    fun `a booking with a complete answer ran and its answer is returned in full`(): List<DynamicTest> = casesOf(
        listOf(LENGTH_ANSWER, CHUNKED_ANSWER).flatMap { whole ->
            listOf(End.CLOSE, End.STALL, End.KEEP).map { Script("whole, then $it", answer = whole, end = it) }
        },
    ) { script ->
        val answer = assertIs<BookingOutcome.Response>(assertSentOnce(script, Verdict.RAN))
        assertEquals(
            listOf(201, "{\"ok\":1}", "17"),
            answer.run {
                listOf(status, body.decodeToString(), headers.single { it.name == "X-Truck" }.value)
            }
        )
    }

    @Test
    fun `a 503 of the service is returned as the answer`() {
        val script = Script("503", answer = BUSY_ANSWER)
        assertEquals(503, assertIs<BookingOutcome.Response>(assertSentOnce(script, Verdict.RAN)).status)
    }

    @Test
    fun `no booking is repeated after a connection was closed while idle`() {
        for (end in listOf(End.CLOSE, End.RESET, End.KEEP)) {
            RawServer { Script("$end", answer = LENGTH_ANSWER, end = End.KEEP) }.use { server ->
                val sender = Sender(server.port)
                val verdicts = (1..5).map { sender.send("r$it").verdict.also { server.endConnections(end) } }
                assertEquals(List(5) { Verdict.RAN }, verdicts)
                assertEquals((1..5).map { "r$it" }, server.requests.map { idOf(it) })
            }
        }
    }

    @Test
    fun `silent connections do not delay other answers`() {
        val silent = Script("silent", answer = LENGTH_ANSWER.copyOf(LENGTH_ANSWER.size - 3), end = End.STALL)
        RawServer { if (it < SILENT_CALLS) silent else Script("whole", answer = LENGTH_ANSWER) }.use { server ->
            Sender(server.port, answerMillis = 20_000).use { sender ->
                runBlocking(Dispatchers.Default) {
                    val calls = List(SILENT_CALLS) { launch { sender.exchange("s$it") } }
                    awaitUntil { server.requests.size == SILENT_CALLS }
                    delay(100.milliseconds)
                    assertEquals(Verdict.RAN, withTimeout(2.seconds) { sender.exchange("r1") }.verdict)
                    calls.forEach { it.cancel() }
                }
            }
        }
    }

    @Test
    fun `a booking that reached no endpoint goes to the next one`() {
        RawServer { Script("whole", answer = LENGTH_ANSWER) }.use { server ->
            assertEquals(Verdict.RAN, Sender(closedPort(), server.port).send("r1").verdict)
            assertEquals(1, server.requests.size)
        }
        assertEquals(Verdict.NOT_RUN, Sender(closedPort(), closedPort()).send("r1").verdict)
        assertEquals(Verdict.NOT_RUN, Sender().send("r1").verdict)
    }

    @Test
    fun `a booking that may have reached an endpoint goes to no other`() {
        RawServer { Script("closes", end = End.RESET) }.use { first ->
            RawServer { Script("whole", answer = LENGTH_ANSWER) }.use { second ->
                assertEquals(Verdict.MAY_HAVE_RUN, Sender(first.port, second.port).send("r1").verdict)
                assertEquals(0, second.connections.get())
            }
        }
    }

    private fun requestCuts(): List<Script> {
        val bytes = RawServer { Script("whole", answer = LENGTH_ANSWER) }.use { server ->
            Sender(server.port).use { it.send("r1") }
            server.requests.single().length
        }
        return (0..bytes).flatMap { count ->
            listOf(End.CLOSE, End.RESET).map { end ->
                Script("read $count of $bytes bytes, then $end", readBytes = count, end = end)
            }
        } + Script("read all, then stall", end = End.STALL) + Script("read none, then stall", 0, end = End.STALL) +
            Script("stall in head", answer = LENGTH_ANSWER.copyOf(9), end = End.STALL) +
            Script("stall in body", answer = LENGTH_ANSWER.copyOf(LENGTH_ANSWER.size - 3), end = End.STALL)
    }

    private fun idOf(request: String): String? = Regex("X-Request-Id: (\\S+)").find(request)?.groupValues?.get(1)

    private fun closedPort(): Int = ServerSocket(0).use { it.localPort }
}

/** More than the client library's default number of threads. */
private const val SILENT_CALLS = 100
