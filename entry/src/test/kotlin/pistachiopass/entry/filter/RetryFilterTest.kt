/** Cases of retries, of the retry budget and of circuit breakers, in virtual time. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.ktor.http.Headers
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.casesOf
import pistachiopass.entry.endpoint.EndpointBreaker
import pistachiopass.entry.http.ByteSink
import pistachiopass.entry.http.CallerResponse
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Exchange
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.RequestHead
import pistachiopass.entry.http.Target
import pistachiopass.entry.http.requireMetadata
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.metrics.metricsOf
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.RequestId
import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RouteName
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId
import pistachiopass.routing.RequestMetadata
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

@OptIn(ExperimentalCoroutinesApi::class)
class RetryFilterTest {
    private val events = ArrayList<Event>()
    private val log = EventLog { event, _, _ -> events += event }

    private class Limits(val remainingMillis: Long = 10_000, val started: Boolean = false, val retriesLeft: Int = 2)

    private class Case(
        val name: String,
        val outcomes: List<Failure?>,
        val attempts: Int,
        val idempotent: Boolean = true,
        val limits: Limits = Limits(),
    ) {
        override fun toString(): String = name
    }

    @TestFactory
    fun `requests are retried only if no endpoint ran them`() = casesOf(CASES) { case ->
        events.clear()
        runTest {
            val now = testScheduler.timeSource.markNow()
            val seen = ArrayList<Set<EndpointId>>()
            val handler = Handler { context ->
                seen += context.requireMetadata().failedEndpoints
                outcomeOf(case.outcomes[seen.size - 1])
            }
            val metrics = metricsOf()
            val budget = retryBudgetOf(percentOfRequests = 0, capacity = 2)
            repeat(2 - case.limits.retriesLeft) { budget.tryTake() }
            val filter = RetryFilter(budget, metrics, Random(1), log)
            val outcome = filter.filter(contextOf(case, now), handler)
            assertEquals(case.outcomes[case.attempts - 1], outcome.getError())
            assertEquals(List(case.attempts) { attempt -> FAILING.take(attempt).toSet() }, seen)
            assertEquals(List(case.attempts - 1) { Event.RETRY }, events)
            val counted = "pistachiopass_retries_total{route=\"r\"} ${case.attempts - 1}.0"
            assertEquals(case.attempts > 1, counted in metrics.scrape().lines())
        }
    }

    @Test
    fun `the budget limits retries to a percentage of the requests`() {
        val budget = retryBudgetOf(percentOfRequests = 10, capacity = 3)
        assertEquals(listOf(true, true, true, false), List(4) { budget.tryTake() })
        repeat(9) { budget.onRequest() }
        assertFalse(budget.tryTake())
        budget.onRequest()
        assertEquals(listOf(true, false), List(2) { budget.tryTake() })
        repeat(1_000) { budget.onRequest() }
        assertEquals(3, (0..<10).count { budget.tryTake() })
    }

    @Test
    fun `a breaker stays open for twice as long after each failure until the endpoint responds`() {
        val time = TestTimeSource()
        val breaker = EndpointBreaker(time)
        val endpoint = EndpointId("e1")
        for (openMillis in listOf(1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000)) {
            assertFalse(breaker.isOpen(endpoint))
            repeat(2) { breaker.recordFailure(endpoint) }
            time += (openMillis - 1).milliseconds
            assertTrue(breaker.isOpen(endpoint), "1 ms before the end of $openMillis ms")
            assertFalse(breaker.isOpen(EndpointId("e2")))
            time += 2.milliseconds
        }
        breaker.recordFailure(endpoint)
        breaker.recordSuccess(endpoint)
        assertFalse(breaker.isOpen(endpoint))
        breaker.recordFailure(endpoint)
        time += 1.seconds + 1.milliseconds
        assertFalse(breaker.isOpen(endpoint))
    }

    private companion object {
        val FAILING = listOf(EndpointId("e0"), EndpointId("e1"), EndpointId("e2"))
        val NOT_RUN = FAILING.map { Failure(FailureCode.NO_ENDPOINT, Verdict.NOT_RUN, "no connection", endpoint = it) }
        val REFUSED = Failure(FailureCode.OVERLOADED, Verdict.NOT_RUN, "no room", retryAfterMillis = 1_000)
        val BROKEN = NOT_RUN[0].copy(code = FailureCode.ENDPOINT_FAILED, verdict = Verdict.MAY_HAVE_RUN)

        val CASES = listOf(
            Case("a response is passed on", listOf(null), attempts = 1),
            Case("a request is retried at another endpoint", listOf(NOT_RUN[0], null), attempts = 2),
            Case("a booking is retried elsewhere", listOf(NOT_RUN[0], null), attempts = 2, idempotent = false),
            Case("the third failure is passed on", NOT_RUN + null, attempts = 3),
            Case("a refusal is passed on", listOf(REFUSED, null), attempts = 1),
            Case("a refusal after a failure is passed on", listOf(NOT_RUN[0], REFUSED, null), attempts = 2),
            Case("a request that may have run is not retried", listOf(BROKEN, null), attempts = 1),
            Case("a booking that may have run is not retried", listOf(BROKEN, null), attempts = 1, idempotent = false),
            Case("no retry after the deadline", listOf(NOT_RUN[0], null), 1, limits = Limits(remainingMillis = 9)),
            Case("no retry without budget", listOf(NOT_RUN[0], null), 1, limits = Limits(retriesLeft = 0)),
            Case("no retry after the response started", listOf(NOT_RUN[0], null), 1, limits = Limits(started = true)),
        )

        fun outcomeOf(failure: Failure?): Result<Completion, Failure> =
            failure?.let { Err(it) } ?: Ok(Completion(200, 1))

        fun contextOf(case: Case, now: ComparableTimeMark): RequestContext {
            val head = RequestHead(HttpMethod.Post, "/p", "/p", Headers.Empty)
            val response = FakeResponse(case.limits.started)
            val exchange = Exchange(RequestId("r-1"), WorkspaceId("w"), head, now, ByteReadChannel.Empty, response)
            val route = Route(RouteName("r"), RouteMatch("/p"), PoolName("p"), case.idempotent)
            val deadline = now + case.limits.remainingMillis.milliseconds
            val target = Target(route, Pool(route.pool, PoolKind.PLAIN, emptyList()), deadline)
            return RequestContext(exchange, metadata = RequestMetadata("/p", WorkspaceId("w")), target = target)
        }
    }

    private class FakeResponse(override val started: Boolean) : CallerResponse {
        override suspend fun send(status: HttpStatusCode, headers: Headers, body: ByteArray): Unit =
            error("no response")

        override suspend fun stream(
            status: HttpStatusCode,
            headers: Headers,
            write: suspend (ByteSink) -> Unit,
        ): Boolean = error("no response")
    }
}
