/** Tests that the limits over all instances together hold if every instance uses up its share. */
package pistachiopass.gateway.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.settings.BoundSettings
import pistachiopass.gateway.settings.CurrentBounds
import pistachiopass.gateway.state.knownStateOf
import kotlin.math.floor
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private data class RetryCase(val instances: Int, val assumed: Int, val requestsEach: Int, val slack: Double)

private data class ColdCase(val perSecond: Double, val assumed: Int, val sent: Int)

class BudgetsTest {
    @TestFactory
    fun `retries of all instances stay within share and slack in each window`(): List<DynamicTest> = casesOf(
        listOf(
            RetryCase(instances = 8, assumed = 12, requestsEach = 0, slack = 104.0),
            RetryCase(instances = 11, assumed = 12, requestsEach = 40, slack = 104.0),
            RetryCase(instances = 90, assumed = 135, requestsEach = 3, slack = 244.0),
        ),
    ) { case ->
        val bounds = BoundSettings(repeatShare = 0.2, repeatSlack = case.slack)
        var nowMillis = 0L
        val budgets = List(case.instances) { RetryBudget(CurrentBounds(bounds), { case.assumed }, { nowMillis }) }
        budgets.forEach { budget -> repeat(case.requestsEach) { budget.onRequest(ASSISTANT) } }
        nowMillis = 9_999
        val retries = budgets.sumOf { retriesTaken(it) }
        val bound = 0.2 * case.instances * case.requestsEach + case.slack
        assertTrue(retries <= bound, "$retries retries exceed the limit of $bound")
        assertTrue(retries > 0, "no retry was allowed")
    }

    private fun retriesTaken(budget: RetryBudget): Int =
        generateSequence { budget.tryTake(ASSISTANT) }.takeWhile { it }.count()

    @TestFactory
    fun `one instance sends a cold endpoint its share of the published rate`(): List<DynamicTest> = casesOf(
        listOf(
            ColdCase(perSecond = 38.0, assumed = 12, sent = 5),
            ColdCase(perSecond = 2.0, assumed = 12, sent = 0),
            ColdCase(perSecond = 2.0, assumed = 8, sent = 1),
        ),
    ) { case ->
        var nowMillis = 0L
        val knownState = knownStateOf({ nowMillis })
        val item = endpointItem(2, "e1", endpointOf("e1", coldMillis = 3_000))
        knownState.apply(listOf(item))
        val endpoint = knownState.endpoints.of(ASSISTANT).single()
        val bounds = CurrentBounds(BoundSettings(coldFactor = 1.5, coldSlack = 5.0))
        val budget = ColdBudget(bounds, { _, limit -> floor(limit / case.assumed).toInt() }, { nowMillis })
        var sent = 0
        while (budget.maySend(endpoint, case.perSecond) && sent < 100) {
            budget.onSent(endpoint)
            sent++
            nowMillis += 1
        }
        assertEquals(case.sent, sent)
        nowMillis = 3_001
        assertTrue(budget.maySend(endpoint, case.perSecond), "still limited after the end of the cold start")
    }
}
