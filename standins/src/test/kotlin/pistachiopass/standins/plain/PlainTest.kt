/** Checks the run record of the plain service and what each fault does to a run and to its answer. */
package pistachiopass.standins.plain

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import pistachiopass.standins.TestCalls
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PlainTest {
    private val runs = RunLog()
    private val server = runBlocking { startPlain(port = 0, endpoint = "j1", runs) }
    private val calls = TestCalls(server.port)

    @AfterTest
    fun close(): Unit = server.close()

    @Test
    fun `the same booking twice is one run with count two`() {
        repeat(2) { book("k1") }
        book("k2")
        assertEquals(listOf("k1" to 2, "k2" to 1), runs.report().runs.map { it.key to it.count })
        assertTrue(calls.send("GET", "/admin/runs").body().contains(""""key":"k1","path":"/pickups""""))
    }

    @ParameterizedTest
    @CsvSource(
        "reset, before, 0, reset",
        "reset, after, 1, reset",
        "truncate, before, 1, HTTP/1.1 200 OK",
    )
    fun `a harmed connection gives no whole answer`(fault: String, phase: String, runCount: Int, answer: String) {
        calls.fault("""{"fault":"$fault","phase":"$phase","count":1,"afterBytes":${answer.length}}""")
        assertEquals(answer, rawBooking())
        assertEquals(runCount, runs.report().runs.sumOf { it.count })
        assertEquals(200, book("next"))
    }

    @Test
    fun `a frozen service runs nothing until it goes on`() {
        calls.fault("""{"fault":"freeze"}""")
        val booking = calls.sendAsync("POST", "/pickups", "{}")
        assertEquals(400, calls.fault("""{"fault":"unknown"}"""))
        assertTrue(runs.report().runs.isEmpty())
        assertFalse(booking.isDone)
        calls.fault("""{"fault":"freeze","on":false}""")
        assertEquals(200, booking.join().statusCode())
    }

    @Test
    fun `a silenced connection stays open and new ones work`() {
        Socket("127.0.0.1", server.port).use { silenced ->
            silenced.outputStream.write(BOOKING.toByteArray())
            val answer = StringBuilder()
            while (!answer.endsWith("}}")) answer.append(silenced.inputStream.read().toChar())
            calls.fault("""{"fault":"silence"}""")
            silenced.outputStream.write(BOOKING.toByteArray())
            assertEquals(200, TestCalls(server.port).send("POST", "/pickups", "{}").statusCode())
            silenced.soTimeout = 200
            assertFailsWith<SocketTimeoutException> { silenced.inputStream.read() }
            assertEquals(1, runs.report().runs.count { it.requestId == "raw" && it.count == 1 })
        }
    }

    private fun book(key: String): Int =
        calls.send("POST", "/pickups", "{}", mapOf("Idempotency-Key" to key)).statusCode()

    /** Books over a raw socket, which sends nothing twice, and returns the answer, or `reset`. */
    private fun rawBooking(): String =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.outputStream.write(BOOKING.toByteArray())
            runCatching { socket.inputStream.readAllBytes().decodeToString() }.getOrDefault("reset")
        }
}

private const val BOOKING =
    "POST /pickups HTTP/1.1\r\nHost: localhost\r\nX-Request-Id: raw\r\nContent-Length: 2\r\n\r\n{}"
