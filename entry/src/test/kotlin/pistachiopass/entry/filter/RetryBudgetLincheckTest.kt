/** Checks that concurrent use of the retry budget is linearizable. */
package pistachiopass.entry.filter

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test

class RetryBudgetLincheckTest {
    private val budget = retryBudgetOf(percentOfRequests = 50, capacity = 1)

    @Operation
    fun onRequest(): Unit = budget.onRequest()

    @Operation
    fun tryTake(): Boolean = budget.tryTake()

    @Test
    fun `concurrent calls take no more than the budget`(): Unit =
        ModelCheckingOptions().iterations(20).invocationsPerIteration(500).check(this::class)
}
