/**
 * Checks invariants of the queue in simulated runs, and that each check detects variants of the queue that violate it.
 *
 * The figures in docs/design/queue.md are those that `prints the figures` writes.
 */
package pistachiopass.queue

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.routing.PromptClass
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals

class QueueSimulationTest {
    private class Check(val name: String, val wrong: List<Policy>, val problem: (Policy, Int) -> String?)

    @TestFactory
    fun `each invariant holds for the queue and fails for its wrong variants`() = listOf(
        Check("no class starves", listOf(Policy.NO_AGEING, Policy.SHORTEST_FIRST), ::starvationOrNull),
        Check("workspaces get equal shares", listOf(Policy.NO_FAIRNESS, Policy.FIFO), ::unfairnessOrNull),
        Check("admitted requests start by their limit", listOf(Policy.NO_LIMIT), ::latenessOrNull),
        Check("short requests are not blocked", listOf(Policy.FIFO, Policy.NO_LIMIT), ::slowdownOrNull),
    ).flatMap { check ->
        SEEDS.flatMap { seed -> testsOf(check, seed) }
    }

    private fun testsOf(check: Check, seed: Int): List<DynamicTest> {
        val holds = DynamicTest.dynamicTest("${check.name}, seed $seed") {
            assertEquals(null, check.problem(Policy.FAIR, seed))
        }
        val caught = check.wrong.map { policy ->
            DynamicTest.dynamicTest("${check.name}, seed $seed, caught: $policy") {
                println("${check.name}, seed $seed, $policy: " + checkNotNull(check.problem(policy, seed)))
            }
        }
        return listOf(holds) + caught
    }

    @Test
    fun `prints the figures`() {
        for (load in listOf(0.5, 0.8, 0.95, 1.5)) {
            for (policy in listOf(Policy.FAIR, Policy.FIFO, Policy.SHORTEST_FIRST, Policy.NO_AGEING)) {
                println(figures("$policy", SimulationSetup(policy), load))
            }
            println(figures("FAIR, unconfined", SimulationSetup(isConfined = false), load))
            println(figures("FAIR, no engine priority", SimulationSetup(hasEnginePriority = false), load))
            println(figures("FAIR, neither", SimulationSetup(isConfined = false, hasEnginePriority = false), load))
        }
    }

    private fun figures(name: String, setup: SimulationSetup, load: Double): String {
        val alone = setup.run(arrivals(FIGURES_SEED, load).filterNot { it.promptClass.isLong })
        val jobs = setup.run(arrivals(FIGURES_SEED, load))
        val (long, short) = jobs.partition { it.promptClass.isLong }
        val served = jobs.filter { it.endMicros != null }.sumOf { it.promptTokens }.toDouble()
        val cells = listOf(
            load, name,
            "%.2f".format(short.firstTokens().percentile(95).toDouble() / alone.firstTokens().percentile(95)),
            "${short.firstTokens().percentile(50)} / ${short.firstTokens().percentile(95)}",
            "${long.firstTokens().percentile(50)} / ${long.firstTokens().percentile(95)}",
            jobs.mapNotNull { it.waitMillis }.max(),
            "${short.count { it.refusal != null }} + ${short.count { it.isExpired }} of ${short.size}",
            "${long.count { it.refusal != null }} + ${long.count { it.isExpired }} of ${long.size}",
            "%.2f".format(load * served / jobs.sumOf { it.promptTokens }),
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private class DrainCase(val promptClass: PromptClass, val promptTokens: Long, val budgetTokens: Long)

    /** Runs prompts that fit only an idle endpoint, together with short ones of which some are always running. */
    private fun starvationOrNull(policy: Policy, seed: Int): String? = listOf(
        DrainCase(PromptClass.OVER_100K, promptTokens = 290_000, budgetTokens = 300_000),
        DrainCase(PromptClass.UP_TO_100K, promptTokens = 99_000, budgetTokens = 100_000),
        DrainCase(PromptClass.UP_TO_16K, promptTokens = 15_500, budgetTokens = 16_000),
    ).mapNotNull { starvationOrNull(it, policy, seed) }.joinToString().ifEmpty { null }

    private fun starvationOrNull(drainCase: DrainCase, policy: Policy, seed: Int): String? {
        val shorts = arrivals(seed, load = 1.0, seconds = 180, endpoints = 1)
            .filter { it.promptClass == PromptClass.UP_TO_4K }
        val others = List(5) {
            Job(OTHER_NUMBERS + it, "w$it", drainCase.promptTokens, 100, it * 30_000_000L, LONG_LIMIT_MILLIS)
        }
        val setup = SimulationSetup(policy, endpoints = 1, budget = QueueBudget(drainCase.budgetTokens, 6))
        setup.run((shorts + others).sortedBy { it.arrivalMicros })
        val runMillis = shorts.mapNotNull { it.runMillis }.max()
        val boundMillis = drainCase.promptClass.ageingMillis + RESERVATIONS * runMillis
        val waits = others.map { it.waitMillis }
        println("$policy, seed $seed, ${drainCase.promptClass}: waits $waits, bound $boundMillis")
        val isBounded = waits.all { it != null && it <= boundMillis }
        return if (isBounded) null else "${drainCase.promptClass}: waits $waits, bound $boundMillis"
    }

    /** Runs four workspaces that each demand more than a quarter, the first one ten times as much as each other. */
    private fun unfairnessOrNull(policy: Policy, seed: Int): String? {
        val jobs = (0..3).flatMap { workspace ->
            arrivals(seed * 10 + workspace, if (workspace == 0) 10.0 else 1.0, seconds = 120, endpoints = 1)
                .filter { it.promptClass == PromptClass.UP_TO_4K }
                .map { it.inWorkspace("w$workspace", it.number * 4 + workspace) }
        }
        SimulationSetup(policy, endpoints = 1, budget = QueueBudget(300_000, 6)).run(jobs.sortedBy { it.arrivalMicros })
        val window = 20_000_000L..120_000_000L
        val served = jobs.filter { job -> job.startMicros?.let { it in window } == true }
            .groupBy { it.workspace }.mapValues { (_, own) -> own.sumOf { it.promptTokens + it.answerTokens } }
        val equal = served.values.sum() / 4.0
        val isFair = served.size == 4 && served.values.all { abs(it - equal) <= FAIR_TOLERANCE * equal }
        return if (isFair) null else "served $served"
    }

    private fun latenessOrNull(policy: Policy, seed: Int): String? {
        val late = SimulationSetup(policy).run(arrivals(seed, load = 1.5)).count { job ->
            val waited = job.waitMillis
            val isRefused = job.refusal != null || job.isExpired
            if (isRefused) waited != null else waited == null || waited > job.limitMillis || job.endMicros == null
        }
        return if (late == 0) null else "$late requests neither started in time nor were refused"
    }

    private fun slowdownOrNull(policy: Policy, seed: Int): String? {
        val alone = SimulationSetup(policy).run(arrivals(seed, load = 0.8).filterNot { it.promptClass.isLong })
        val mixed = SimulationSetup(policy).run(arrivals(seed, load = 0.8)).filterNot { it.promptClass.isLong }
        val slowdown = mixed.firstTokens().percentile(95).toDouble() / alone.firstTokens().percentile(95)
        return if (slowdown <= SLOWDOWN_TARGET) null else "slowdown $slowdown"
    }

    private fun Job.inWorkspace(workspace: String, number: Int): Job =
        Job(number, workspace, promptTokens, answerTokens, arrivalMicros, limitMillis)

    private fun List<Job>.firstTokens(): List<Long> = mapNotNull { it.firstTokenMillis }

    private companion object {
        val SEEDS = listOf(1, 2, 3)
        const val FIGURES_SEED = 7
        const val SLOWDOWN_TARGET = 1.3

        /** The request's own reservation and one of a short prompt before it; the other requests arrive far apart. */
        const val RESERVATIONS = 2
        const val FAIR_TOLERANCE = 0.1
        const val OTHER_NUMBERS = 900_000
    }
}
