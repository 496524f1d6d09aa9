/** Checks the invariants of the simulation under faults, and that they detect mutations of the code. */
package pistachiopass.capacity

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.Endpoint
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CapacitySimulationTest {
    @TestFactory
    fun `invariants hold under faults and the full budget is available afterwards`(): List<DynamicTest> =
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val sim = CapacitySimulation(seed)
                assertNull(underFaults(sim), "seed $seed")
                assertNull(fullBudgetMissingOrNull(sim), "seed $seed")
            }
        }

    @TestFactory
    fun `each mutation of the code violates an invariant`(): List<DynamicTest> =
        Mutation.entries.filter { it != Mutation.NONE }.map { mutation ->
            DynamicTest.dynamicTest(mutation.name) {
                val caught = (1..MUTATION_SEEDS).firstNotNullOfOrNull { seed ->
                    val sim = CapacitySimulation(seed, mutation)
                    (underFaults(sim) ?: fullBudgetMissingOrNull(sim))?.let { "seed $seed, $it" }
                }
                println("$mutation: $caught")
                assertNotNull(caught, "$mutation is not found in $MUTATION_SEEDS seeds")
            }
        }

    @Test
    fun `every partition of eight instances into two groups divides the budget`() {
        for (split in 1 until SPLITS) {
            val sim = CapacitySimulation(seed = split)
            sim.network.isFaulty = false
            assertNull(sim.run(SETTLED_MILLIS), "split $split")
            sim.network.groupOf = { name -> split shr name.number() and 1 }
            assertNull(sim.run(SPLIT_MILLIS), "split $split")
            val pledged = sim.endpoints.map { endpoint -> pledgedTokens(sim, endpoint) }
            sim.endpoints.zip(pledged).forEach { (endpoint, sum) ->
                assertEquals(endpoint.budgetTokens, sum, "split $split leaves shares of ${endpoint.id} idle")
            }
            sim.network.groupOf = { 0 }
            assertNull(sim.run(SPLIT_MILLIS), "split $split healed")
            assertNull(fullBudgetMissingOrNull(sim), "split $split")
        }
    }

    @Test
    fun `the pledges of a paused owner have expired when it resumes`() {
        val sim = CapacitySimulation(seed = 1)
        assertNull(sim.run(SETTLED_MILLIS))
        val owner = sim.instances.values.first { it.table.accounts().any { account -> account.config.isOwned } }
        owner.pausedUntilMillis = sim.nowMillis + PAUSE_MILLIS
        assertNull(sim.run(PAUSE_MILLIS - TICK_MILLIS))
        assertTrue(owner.table.accounts().all { it.pledged.isEmpty() })
        assertNull(sim.run(PAUSE_MILLIS))
    }

    private fun pledgedTokens(sim: CapacitySimulation, endpoint: Endpoint): Long =
        sim.allTables.sumOf { table ->
            table.accounts().first { it.config.endpoint.id == endpoint.id }.pledged.values.sumOf { it.warm.tokens }
        }

    /** Runs with random faults of every kind and returns the first violated invariant, or null. */
    private fun underFaults(sim: CapacitySimulation): String? = sim.run(FAULTY_MILLIS) {
        if (sim.random.nextInt(MEAN_TICKS_BETWEEN_FAULTS) == 0) injectFault(sim)
    }

    private fun injectFault(sim: CapacitySimulation) {
        val random = sim.random
        val victim = sim.names.random(random)
        when (random.nextInt(10)) {
            0 -> sim.instances.getValue(victim).pausedUntilMillis = sim.nowMillis + random.nextLong(PAUSE_MILLIS)
            1 -> sim.start(victim)
            2 -> sim.publish(sim.names.filter { random.nextInt(4) > 0 }.ifEmpty { sim.names })
            3 -> random.nextInt(1, SPLITS).let { split ->
                sim.network.groupOf = { name -> split shr name.number() and 1 }
            }
            4 -> sim.network.groupOf = { 0 }
            5 -> sim.engines.random(random).restart(sim.nowMillis)
            6 -> sim.engines.random(random).withholdsReports = true
            7, 8 -> sim.engines.forEach { it.withholdsReports = false }
            else -> sim.start(victim)
        }
    }

    /** Ends all faults and requests; after [RECOVERY_MILLIS], each owner must be able to lease the whole budget. */
    private fun fullBudgetMissingOrNull(sim: CapacitySimulation): String? {
        sim.network.groupOf = { 0 }
        sim.network.isFaulty = false
        sim.engines.forEach { it.withholdsReports = false }
        sim.publish(sim.names)
        sim.sendsRequests = false
        val violation = sim.run(RECOVERY_MILLIS)
        val refusals = sim.endpoints.mapNotNull { endpoint ->
            val owner = sim.instances.values.first { instance ->
                instance.table.accounts().any { it.config.endpoint.id == endpoint.id && it.config.isOwned }
            }
            val account = owner.table.accounts().first { it.config.endpoint.id == endpoint.id }
            val isBudgetFree = account.held == Capacity.NONE && account.leased == Capacity.NONE &&
                account.pledged.values.map { it.warm }.reduceOrNull(Capacity::plus) == endpoint.budget.warm &&
                account.pledged.values.map { it.cold }.reduceOrNull(Capacity::plus) == endpoint.budget.cold
            val needed = if (account.isCold) Capacity(endpoint.coldBudgetTokens / 2, 1) else endpoint.budget.warm
            val request = LeaseRequest(RequestId("all"), endpoint.id, needed, WorkspaceId("w"), needed.tokens, 1)
            val refusal = owner.table.request(owner.incarnation, request).refusal
            "${endpoint.id}: $refusal, $account".takeIf { refusal != null || !isBudgetFree }
        }
        return violation ?: refusals.takeIf { it.isNotEmpty() }?.let { "the full budget is not back: $it" }
    }

    private fun InstanceId.number(): Int = value.drop(1).toInt()
}

private const val SEEDS = 40
private const val MUTATION_SEEDS = 60
private const val SPLITS = 1 shl 7
private const val SETTLED_MILLIS = 12_000L
private const val SPLIT_MILLIS = 10_000L
private const val PAUSE_MILLIS = 9_000L
private const val FAULTY_MILLIS = 150_000L
private const val MEAN_TICKS_BETWEEN_FAULTS = 150
private const val RECOVERY_MILLIS = 45_000L
