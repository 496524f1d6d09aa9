/**
 * Checks simulated histories of concurrent bookings, with kills, pauses, network cuts and graceful stops of instances,
 * against the runs that the service recorded.
 *
 * Two tests show that the checker detects the violations of deliberately faulty variants. `-Dbooking.seeds=n` sets the
 * number of histories.
 */
package pistachiopass.booking

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceState
import pistachiopass.model.Verdict
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

class BookingHistoryTest {
    @Test
    fun `no booking runs twice and no booking that ran is reported as not run`() {
        val seeds = 1..(System.getProperty("booking.seeds")?.toInt() ?: CI_SEEDS)
        val results = seeds.map { HistoryRun(it, Variant("correct")).result() }
        println("seeds $seeds: ${results.joinToString("\n", limit = 8)}")
        assertEquals(emptyList(), results.filter { it.violations.isNotEmpty() })
        assertTrue(results.sumOf { it.ran } > results.size, "too few bookings ran for a meaningful check")
        assertTrue(results.sumOf { it.notRun } > results.size, "too few bookings were refused for a meaningful check")
        assertEquals(MoveOutcome.entries.toSet(), results.flatMap { it.moves }.toSet())
    }

    @Test
    fun `a sender that sends a booking twice is detected`() {
        assertDetected(Variant("sends again", sendsTwice = true))
    }

    @Test
    fun `a move to a second successor without a refusal of the first is detected`() {
        assertDetected(Variant("two successors", successorRule = { it != MoveState.ADOPTED }))
    }

    private fun assertDetected(variant: Variant) {
        val faulty = (1..CI_SEEDS).asSequence()
            .map { HistoryRun(it, variant).result() }
            .firstOrNull { it.violations.isNotEmpty() }
        println("variant '${variant.name}': $faulty")
        assertNotNull(faulty, "no seed of 1..$CI_SEEDS showed a violation by '${variant.name}'")
    }
}

private data class RunResult(
    val seed: Int,
    val violations: List<String>,
    val ran: Int,
    val notRun: Int,
    val mayHaveRun: Int,
    val moves: List<MoveOutcome>,
)

private class HistoryRun(private val seed: Int, private val variant: Variant) {
    private val random = Random(seed)
    private val history = History()
    private val faultIntervalMaxMillis = if (seed % 2 == 0) SHORT_FAULT_INTERVAL_MILLIS else LONG_FAULT_INTERVAL_MILLIS
    private lateinit var fleet: Fleet

    @OptIn(ExperimentalCoroutinesApi::class)
    fun result(): RunResult {
        runTest(timeout = 5.minutes) {
            fleet = Fleet(backgroundScope, testTimeSource, random, variant)
            INSTANCES.forEach(fleet::start)
            fleet.published.value = fleet.list()
            backgroundScope.launch { publish() }
            repeat(FAULT_ACTORS) { backgroundScope.launch { injectFaults(backgroundScope) } }
            (1..CALLERS).map { launch { Caller(fleet, "caller$it", history).run() } }.joinAll()
            delay(FINAL_WAIT_MILLIS)
        }
        return RunResult(
            seed,
            history.violations(fleet.service),
            history.count(Verdict.RAN),
            history.count(Verdict.NOT_RUN),
            history.count(Verdict.MAY_HAVE_RUN),
            fleet.moves,
        )
    }

    /** Publishes the instance list with a random delay, so that it lags behind the real state. */
    private suspend fun publish() {
        while (true) {
            delay(random.nextLong(4_000))
            fleet.published.value = fleet.list()
        }
    }

    private suspend fun injectFaults(scope: CoroutineScope) {
        while (true) {
            delay(random.nextLong(faultIntervalMaxMillis))
            val instance = fleet.randomInstance()
            when (random.nextInt(FAULT_CASES)) {
                0 -> restart(instance) { instance.kill() }
                1, 2 -> scope.launch { pause(instance) }
                3 -> scope.launch { cut(setOf(instance.identity.instance, fleet.randomInstance().identity.instance)) }
                4 -> scope.launch { cutDataCentre(instance.identity.dataCentre) }
                else -> if (!instance.isStopping) scope.launch { stop(instance) }
            }
        }
    }

    private suspend fun stop(instance: SimulatedInstance) {
        instance.stop()
        delay(random.nextLong(1_500))
        if (fleet.simulatedInstances[instance.identity.instance] === instance) restart(instance) { instance.kill() }
    }

    private suspend fun restart(instance: SimulatedInstance, end: () -> Unit) {
        end()
        delay(random.nextLong(2_000))
        if (fleet.simulatedInstances[instance.identity.instance] === instance) {
            fleet.start(instance.identity.instance, instance.identity.dataCentre)
        }
    }

    private suspend fun pause(instance: SimulatedInstance) {
        instance.isResumed.value = false
        delay(random.nextLong(8_000))
        instance.isResumed.value = true
    }

    private suspend fun cut(pair: Set<InstanceId>) {
        fleet.cuts += pair
        delay(random.nextLong(5_000))
        fleet.cuts -= pair
    }

    private suspend fun cutDataCentre(dataCentre: DataCentreId) {
        val (inside, outside) = INSTANCES.entries.partition { it.value == dataCentre }
        val pairs = inside.flatMap { a -> outside.map { b -> setOf(a.key, b.key) } }.toSet()
        fleet.cuts += pairs
        delay(random.nextLong(6_000))
        fleet.cuts -= pairs
    }

    private fun Fleet.list(): List<Instance> = simulatedInstances.values.sortedBy { it.identity.instance }.map {
        val state = if (it.isStopping) InstanceState.LEAVING else InstanceState.LIVE
        Instance(it.identity.instance, it.identity.dataCentre, "", "", state)
    }
}

private val INSTANCES: Map<InstanceId, DataCentreId> =
    listOf("a", "b").flatMap { dc -> (1..3).map { InstanceId("$dc$it") to DataCentreId(dc) } }.toMap()
private const val CI_SEEDS = 60
private const val CALLERS = 8
private const val FAULT_ACTORS = 2
private const val FAULT_CASES = 9
private const val SHORT_FAULT_INTERVAL_MILLIS = 4_000L
private const val LONG_FAULT_INTERVAL_MILLIS = 20_000L
private const val FINAL_WAIT_MILLIS = 15_000L
