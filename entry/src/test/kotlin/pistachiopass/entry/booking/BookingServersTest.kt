/** Tests bookings on instances with real servers and sockets. */
package pistachiopass.entry.booking

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.model.VERDICT_HEADER
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class BookingServersTest {
    @Test
    fun `a booking runs once and every instance gives the same answer`() = withFleet { service, instances ->
        val refused = instances[0].post("stage 3")
        assertEquals(listOf("428", "not run"), refused.summary().take(2))
        val key = assertNotNull(refused.headers[IDEMPOTENCY_KEY_HEADER])
        val answers = instances.map { it.post("stage 3", key) }
        assertEquals(setOf(listOf("200", "ran", "17", "run 1 of 1")), answers.map { it.summary() }.toSet())
        assertEquals(listOf("422", "may have run"), instances[1].post("stage 4", key).summary().take(2))
        assertEquals(listOf("403", "not run"), instances[1].post("stage 3", key + "x").summary().take(2))
        assertEquals(listOf("400", "not run"), instances[1].post("stage 3", "mine").summary().take(2))
        assertEquals(mapOf(key to 1), service.runs)
    }

    @Test
    fun `a late answer is recorded and returned to the caller that retries`() = withFleet(
        timeoutMillis = 1_000
    ) { service, instances ->
        val key = instances[0].key()
        assertEquals(listOf("504", "may have run"), instances[1].post("slow", key).summary().take(2))
        service.isReleased.complete(Unit)
        assertEquals(listOf("200", "ran"), instances[2].post("slow", key).summary().take(2))
        assertEquals(mapOf(key to 1), service.runs)
    }

    @Test
    fun `keys of a stopped instance remain valid at its successor only`() = withFleet { service, instances ->
        val (used, unused) = List(2) { instances[0].key() }
        instances[1].post("stage 3", used)
        instances[0].stop()
        assertEquals(listOf("200", "ran", "17", "run 1 of 1"), instances[2].post("stage 3", used).summary())
        assertEquals(listOf("200", "ran", "17", "run 1 of 2"), instances[2].post("stage 3", unused).summary())
        assertEquals(listOf("200", "ran", "17", "run 1 of 2"), instances[1].post("stage 3", unused).summary())
        assertEquals(mapOf(used to 1, unused to 1), service.runs)
    }

    @Test
    fun `a graceful stop waits for a running booking and aborts nothing`() = withFleet { service, instances ->
        val key = instances[0].key()
        val answer = async { instances[0].post("slow", key).summary() }
        while (service.runs.isEmpty()) kotlinx.coroutines.delay(5)
        val stop = async { instances[0].stop() }
        while (instances[0].post("x").summary().first() != "503") kotlinx.coroutines.delay(5)
        service.isReleased.complete(Unit)
        assertEquals(listOf("200", "ran"), answer.await().take(2))
        stop.await()
        assertEquals(listOf("200", "ran"), instances[1].post("slow", key).summary().take(2))
    }

    @Test
    fun `keys of a killed instance may have run and run nowhere else`() = withFleet { service, instances ->
        val key = instances[0].key()
        instances[0].kill()
        assertEquals("may have run", instances[1].post("stage 3", key).summary()[1])
        assertEquals("may have run", instances[2].post("stage 3", key).summary()[1])
        assertEquals(0, service.runs.size)
    }

    @Test
    fun `a stopping instance does not report a repeated booking as not run`() = withFleet { _, instances ->
        val key = instances[0].key()
        instances[0].post("stage 3", key)
        instances[1].beginStop()
        assertEquals(listOf("503", "may have run"), instances[1].post("stage 3", key).summary().take(2))
        assertEquals(listOf("503", "not run"), instances[1].post("stage 3").summary().take(2))
        assertEquals(listOf("503", "not run"), instances[1].post("x", path = "/jobs").summary().take(2))
    }

    private fun withFleet(
        timeoutMillis: Long = 20_000,
        check: suspend kotlinx.coroutines.CoroutineScope.(CountingService, List<TestInstance>) -> Unit,
    ) = runBlocking {
        val service = CountingService()
        val fleet = Fleet(service.start(), timeoutMillis)
        try {
            val instances = listOf("a1" to "a", "a2" to "a", "b1" to "b").map { (name, dc) -> fleet.start(name, dc) }
            check(service, instances)
        } finally {
            fleet.close()
            service.stop()
        }
    }

    private suspend fun HttpResponse.summary(): List<String> =
        listOfNotNull(status.value.toString(), headers[VERDICT_HEADER], headers["X-Truck"], bodyAsText())
}
