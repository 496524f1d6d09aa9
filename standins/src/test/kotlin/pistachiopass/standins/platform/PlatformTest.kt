/** Checks documents, versions, long poll, call counts and faults of the platform stand-in. */
package pistachiopass.standins.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import pistachiopass.standins.TestCalls
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class PlatformTest {
    private val server = runBlocking { startPlatform(port = 0) }
    private val calls = TestCalls(server.port)

    @AfterTest
    fun close(): Unit = server.close()

    @ParameterizedTest
    @CsvSource(
        "/v1/documents/routes, 200",
        "/v1/documents/routes?after=0&waitMillis=30000, 200",
        "/v1/documents/routes?after=1&waitMillis=20, 304",
        "/v1/documents/routes?after=x, 400",
        "/v1/documents/pools, 404",
        "/v1/documents/other, 404",
    )
    fun `reads answer by version`(path: String, status: Int) {
        put("""{"routes":[]}""")
        assertEquals(status, calls.send("GET", path).statusCode())
    }

    @Test
    fun `a watch is answered by the next version`() {
        put("1")
        val watch = startWatch()
        put("2")
        assertEquals("""{"name":"routes","version":2,"value":2}""", watch.join().body())
    }

    @Test
    fun `stale keeps the old version until it is off`() {
        put("1")
        calls.fault("""{"fault":"stale"}""")
        put("2")
        assertEquals("""{"name":"routes","version":1,"value":1}""", calls.send("GET", ROUTES).body())
        calls.fault("""{"fault":"stale","on":false}""")
        assertEquals("""{"name":"routes","version":2,"value":2}""", calls.send("GET", ROUTES).body())
    }

    @Test
    fun `absent answers 503 also to a watch that waits`() {
        put("1")
        val watch = startWatch()
        assertFalse(watch.isDone)
        calls.fault("""{"fault":"absent"}""")
        assertEquals(503, watch.join().statusCode())
        assertEquals(503, calls.send("GET", ROUTES).statusCode())
    }

    @Test
    fun `calls are counted by caller and by second`() {
        val nowMillis = ArrayDeque(listOf(1_000L, 1_999L, 2_000L))
        val counter = CallCounter { nowMillis.removeFirst() }
        listOf("a", "a", "b").forEach(counter::count)
        assertEquals(CallReport(total = 3, byCaller = mapOf("a" to 2, "b" to 1), peakPerSecond = 2), counter.report())
    }

    /** Returns once the platform has counted the watch. */
    private fun startWatch(): CompletableFuture<HttpResponse<String>> {
        val watch = calls.sendAsync("GET", "$ROUTES?after=1&waitMillis=30000")
        while (""""total":1""" !in calls.send("GET", "/admin/calls").body()) Thread.onSpinWait()
        return watch
    }

    private fun put(value: String) {
        assertEquals(200, calls.send("PUT", "/admin/documents/routes", value).statusCode())
    }
}

private const val ROUTES = "/v1/documents/routes"
