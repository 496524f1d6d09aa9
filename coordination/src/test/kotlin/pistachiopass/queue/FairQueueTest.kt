/** Tests of the order of the admission queue, of its limits and of its reservations. */
package pistachiopass.queue

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class FairQueueTest {
    private var nowMillis: Long = 0
    private var predictedMillis: Long = 0
    private val budget = QueueBudget(tokens = 300_000, slots = 4)
    private val queue = admissionQueueOf({ nowMillis }, { budget }, { _, _ -> predictedMillis }, QueueLimits(16))

    @TestFactory
    fun `requests are taken in order`() = ORDERS.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val test = FairQueueTest()
            case.offered.forEach { assertNull(test.queue.offer(it)) }
            test.nowMillis = case.atMillis
            assertEquals(case.taken, test.takeAll(case.freeTokens))
        }
    }

    @Test
    fun `a request that has ended frees its capacity next to a reservation`() {
        queue.offer(waiting("long", promptTokens = 250_000))
        nowMillis = 11_000
        repeat(4) { queue.offer(waiting("s$it", promptTokens = 40_000, enqueuedAtMillis = nowMillis)) }
        assertEquals(listOf("s0"), takeAll(freeTokens = 200_000))
        queue.onEnded(RequestId("s0"))
        assertEquals(listOf("s1"), takeAll(freeTokens = 200_000))
        assertEquals(listOf("long"), takeAll(freeTokens = 260_000))
    }

    @Test
    fun `a request is refused when its first token is predicted to be late`() {
        predictedMillis = 2_500
        assertEquals(
            Refusal(RefusalReason.TOO_LATE, retryAfterMillis = 500),
            queue.offer(waiting("a", firstTokenByMillis = 2_000)),
        )
        assertNull(queue.offer(waiting("b", firstTokenByMillis = 2_500)))
    }

    @Test
    fun `the prefill of a prompt does not count towards its wait limit`() {
        val queue = admissionQueueOf({ 0 }, { budget }, { prompt, ahead -> (prompt + ahead) / 10 }, QueueLimits(16))
        val long = waiting("long", promptTokens = 250_000).copy(waitUntilMillis = 2_000, firstTokenByMillis = 60_000)
        assertNull(queue.offer(long))
        assertEquals(RefusalReason.TOO_LATE, queue.offer(long.copy(RequestId("late"), firstTokenByMillis = 1))?.reason)
    }

    @Test
    fun `a workspace that floods the queue leaves places to others`() {
        val refusals = (0..<20).map { queue.offer(waiting("f$it", "flood"))?.reason }
        assertEquals(8, refusals.count { it == null })
        assertNull(queue.offer(waiting("a", "other")))
        assertEquals(RefusalReason.QUEUE_FULL, refusals.last())
    }

    @Test
    fun `a request is taken, expired or removed only once`() {
        queue.offer(waiting("a", firstTokenByMillis = 100))
        queue.offer(waiting("b"))
        queue.offer(waiting("b"))
        queue.remove(RequestId("c"))
        nowMillis = 100
        assertEquals(listOf("b"), takeAll(freeTokens = 300_000))
        assertEquals(listOf("a"), queue.expire(nowMillis).map { it.id.value })
        assertEquals(0, queue.size)
    }

    @Test
    fun `only requests that go first count as tokens ahead`() {
        queue.offer(waiting("a1", "a", promptTokens = 3_000))
        queue.offer(waiting("a2", "a", promptTokens = 200_000))
        repeat(3) { queue.offer(waiting("b$it", "b", promptTokens = 3_000)) }
        assertEquals(3_000 + 2_000, queue.tokensAhead(waiting("x", "a", promptTokens = 2_000)))
        assertEquals(2_000 + 2_000, queue.tokensAhead(waiting("x", "c", promptTokens = 2_000)))
    }

    private fun takeAll(freeTokens: Long): List<String> {
        var left = freeTokens
        return generateSequence { queue.takeNext { it.tokens <= left }?.also { left -= it.tokens } }
            .map { it.id.value }
            .toList()
    }

    private class Order(
        val name: String,
        val offered: List<WaitingRequest>,
        val taken: List<String>,
        val atMillis: Long = 0,
        val freeTokens: Long = 300_000,
    )

    private companion object {
        fun waiting(
            id: String,
            workspace: String = "w",
            promptTokens: Long = 1_000,
            enqueuedAtMillis: Long = 0,
            firstTokenByMillis: Long = 60_000,
        ) = WaitingRequest(
            RequestId(id),
            WorkspaceId(workspace),
            promptTokens,
            promptTokens,
            enqueuedAtMillis,
            60_000,
            firstTokenByMillis,
        )

        val ORDERS = listOf(
            Order(
                "the shorter class goes first",
                listOf(waiting("a", promptTokens = 20_000), waiting("b", promptTokens = 4_000)),
                listOf("b", "a"),
            ),
            Order(
                "within a class the earlier limit goes first",
                listOf(waiting("a"), waiting("b", firstTokenByMillis = 5_000)),
                listOf("b", "a"),
            ),
            Order(
                "workspaces take turns",
                List(3) { waiting("a$it", "a") } + waiting("b0", "b") + waiting("b1", "b"),
                listOf("a0", "b0", "a1", "b1", "a2"),
            ),
            Order(
                "turns are counted in tokens",
                List(3) { waiting("a$it", "a", promptTokens = 2_000) } + List(3) { waiting("b$it", "b") },
                listOf("b0", "a0", "b1", "b2", "a1", "a2"),
            ),
            Order(
                "a long prompt that does not fit blocks no other request before its ageing time",
                listOf(waiting("a", promptTokens = 250_000), waiting("b"), waiting("c", "v")),
                listOf("b", "c"),
                atMillis = 499,
                freeTokens = 200_000,
            ),
            Order(
                "an overdue request goes before its own workspace",
                listOf(waiting("a", promptTokens = 150_000), waiting("b", enqueuedAtMillis = 10_000)),
                listOf("a", "b"),
                atMillis = 10_000,
            ),
            Order(
                "an overdue request that does not fit leaves the rest of the budget to others",
                listOf(waiting("a", promptTokens = 298_000)) + List(3) { waiting("b$it", enqueuedAtMillis = 10_000) },
                listOf("b0", "b1"),
                atMillis = 10_000,
                freeTokens = 200_000,
            ),
            Order(
                "overdue requests of a workspace that floods the queue do not always go before others",
                List(5) { waiting("a$it", "a") } + List(2) { waiting("b$it", "b", enqueuedAtMillis = 1_000) },
                listOf("a0", "a1", "b0", "a2", "b1", "a3", "a4"),
                atMillis = 1_000,
            ),
        )
    }
}
