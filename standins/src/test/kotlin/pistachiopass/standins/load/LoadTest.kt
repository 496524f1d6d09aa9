/** Checks the plan of arrivals, the check of streams and the statistics of the load tool. */
package pistachiopass.standins.load

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LoadTest {
    private val scenario = Scenario(seed = 7, durationMillis = 200_000, requestsPerSecond = 50.0)

    @Test
    fun `equal seeds plan equal arrivals with one in fifty over a hundred thousand tokens`() {
        val arrivals = arrivalsOf(scenario)
        assertEquals(arrivals, arrivalsOf(scenario))
        val share = arrivals.count { promptBandOf(it.promptTokens) == PromptBand.HUGE }.toDouble() / arrivals.size
        assertEquals(0.02, share, absoluteTolerance = 0.005)
        assertTrue(arrivals.all { it.promptTokens in 1_000..scenario.maxPromptTokens })
        assertTrue(arrivals.count { it.workspace == "workspace-0" } > arrivals.count { it.workspace == "workspace-9" })
    }

    @ParameterizedTest
    @CsvSource(
        "0 1 2f D, ''",
        "0 2 3f D, offset 2 in place of 1",
        "0 0 1f D, offset 0 in place of 1",
        "0 1 2f, no [DONE]",
        "0 1 D, no finish reason",
        "0 1f D 1, event after [DONE]",
    )
    fun `a stream is whole or its first flaw is told`(events: String, flaw: String) {
        val check = StreamCheck()
        events.split(' ').flatMap(::linesOf).forEach(check::takeLine)
        assertEquals(flaw, check.flawAtEndOrNull().orEmpty())
    }

    @Test
    fun `outcomes are counted by band and by cause`() {
        val statistics = LoadStatistics(Scenario(firstTokenMillis = 100))
        val arrival = Arrival(number = 0, atMillis = 0.0, workspace = "w", promptTokens = 5_000)
        statistics.add(Outcome(arrival, firstTokenMillis = 50.0, endMillis = 60.0))
        statistics.add(Outcome(arrival, firstTokenMillis = 200.0, endMillis = 300.0))
        statistics.add(Outcome(arrival, endMillis = 10.0, failure = "status 503, verdict not run"))
        statistics.add(Outcome(arrival.copy(promptTokens = 0), endMillis = 10.0))
        val report = statistics.report()
        val band = report.bands.single { it.band == "4k-16k" }
        assertEquals(listOf(3L, 2L, 1L), listOf(band.requests, band.answered, band.inTime))
        assertEquals(50.0, band.p50Millis, absoluteTolerance = 0.1)
        assertEquals(mapOf("status 503, verdict not run" to 1L), report.failures)
        assertEquals(listOf(4L, 3L, 2L, 1L), listOf(report.requests, report.answered, report.inTime, report.bookings))
        assertTrue(
            "4k-16k" in report.table() && "4k-16k" in report.compare(report) && "<svg" in report.firstTokenPlot()
        )
    }

    @Test
    fun `slow answers do not hold back later arrivals`() =
        runTest {
            val small = Scenario(durationMillis = 1_000, requestsPerSecond = 20.0)
            var open = 0
            var mostOpen = 0
            runLoad(small) { arrival, _ ->
                mostOpen = maxOf(mostOpen, ++open)
                delay(3_600_000)
                Outcome(arrival, endMillis = 0.0)
            }
            assertEquals(arrivalsOf(small).size, mostOpen)
        }

    @Test
    fun `an unexpected failure of one request is its outcome and does not end the run`() =
        runTest {
            val arrival = Arrival(number = 0, atMillis = 0.0, workspace = "w", promptTokens = 1_000)
            val outcome = LoadCaller(Scenario(), listOf("127.0.0.1:no-port")).use { it.call(arrival) { 1.0 } }
            assertTrue(outcome.failure.orEmpty().startsWith("caller: "), "failure is ${outcome.failure}")
        }

    @Test
    fun `a prompt has four characters for each token`() {
        val arrival = Arrival(number = 3, atMillis = 0.0, workspace = "w", promptTokens = 1_001)
        assertEquals(4_004, promptOf(arrival).length)
    }
}

private fun linesOf(event: String): List<String> {
    if (event == "D") return listOf("data: [DONE]", "")
    val reason = if (event.endsWith('f')) "\"stop\"" else "null"
    val chunk = """{"choices":[{"delta":{"content":"a"},"finish_reason":$reason}]}"""
    return listOf("id: s1:${event.removeSuffix("f")}", "data: $chunk", "")
}
