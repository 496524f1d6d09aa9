/**
 * Measures the time until a change is in force, the traffic and the platform calls for several numbers of instances and
 * prints a line for each strategy.
 *
 * The JVM property `relay.instances` sets the maximum number of instances; the largest fleet, 416, takes minutes.
 */
package pistachiopass.tables.relay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.tables.DocumentName
import kotlin.test.assertTrue

class RelayMeasurementTest {
    private class Strategy(val name: String, val change: (Scenario) -> Scenario, val meetsTarget: Boolean)

    private class Fleet(val dataCentres: Int, val perDataCentre: Int, val endpoints: Int)

    @TestFactory
    fun `changes are in force within the target time`(): List<DynamicTest> =
        fleets.flatMap { fleet ->
            strategies.map { strategy ->
                DynamicTest.dynamicTest("${strategy.name}, ${fleet.dataCentres * fleet.perDataCentre} instances") {
                    val scenario = Scenario(fleet.dataCentres, fleet.perDataCentre, seed = SEED)
                    val worstMillis = measure(strategy, RelaySimulation(strategy.change(scenario)), fleet.endpoints)
                    assertTrue(!strategy.meetsTarget || worstMillis <= IN_FORCE_MILLIS, "worst $worstMillis ms")
                }
            }
        }

    private fun measure(strategy: Strategy, simulation: RelaySimulation, endpoints: Int): Long {
        simulation.startAll()
        val before = Totals(simulation)
        val versions = 2L until 2L + CHANGES
        versions.forEach { version ->
            simulation.publishPools(version, endpoints = endpoints + version.toInt())
            simulation.runFor(PERIOD_MILLIS)
        }
        val used = Totals(simulation)
        simulation.runFor(PERIOD_MILLIS * 3)
        val delays = versions.flatMap { simulation.delays(DocumentName.POOLS, it) }
            .map { it ?: Long.MAX_VALUE }
            .sorted()
        report(strategy, simulation, used - before, delays)
        return delays.last()
    }

    private fun report(strategy: Strategy, simulation: RelaySimulation, used: Totals, delays: List<Long>) {
        val seconds = CHANGES * PERIOD_MILLIS / 1_000.0
        val instances = simulation.members.size
        println(
            "relay-measurement seed=$SEED way=\"${strategy.name}\" instances=$instances " +
                "p50Millis=${delays[delays.size / 2]} p99Millis=${delays[delays.size * 99 / 100]} " +
                "worstMillis=${delays.last()} platformCallsPerSecond=${perSecond(used.calls, seconds)} " +
                "messagesPerInstanceSecond=${perSecond(used.messages, seconds * instances)} " +
                "bytesPerInstanceSecond=${perSecond(used.bytes, seconds * instances)}",
        )
    }

    private fun perSecond(count: Long, seconds: Double): String = "%.2f".format(count / seconds)

    private class Totals(val calls: Long, val messages: Long, val bytes: Long) {
        constructor(simulation: RelaySimulation) :
            this(simulation.platform.callsAtMillis.size.toLong(), simulation.messages, simulation.bytes)

        operator fun minus(other: Totals) =
            Totals(calls - other.calls, messages - other.messages, bytes - other.bytes)
    }

    private val fleets = listOf(
        Fleet(dataCentres = 2, perDataCentre = 4, endpoints = 20),
        Fleet(dataCentres = 3, perDataCentre = 16, endpoints = 50),
        Fleet(dataCentres = 16, perDataCentre = 26, endpoints = 50),
    ).filter { it.dataCentres * it.perDataCentre <= Integer.getInteger("relay.instances", DEFAULT_INSTANCES) }

    private val strategies = listOf(
        Strategy("relay", { it }, meetsTarget = true),
        Strategy("every instance watches", { everyInstanceWatches(it) }, meetsTarget = true),
        Strategy("pull alone, 10 s", { pullOnly(it) }, meetsTarget = false),
    )
}

private fun everyInstanceWatches(scenario: Scenario): Scenario =
    scenario.copy(announces = false, compares = false, settings = RelaySettings(readers = scenario.perDataCentre))

private fun pullOnly(scenario: Scenario): Scenario =
    scenario.copy(announces = false, settings = RelaySettings(comparePeriodMillis = 10_000, jitter = 0.1))

private const val SEED = 8
private const val DEFAULT_INSTANCES = 48
private const val CHANGES = 4
private const val PERIOD_MILLIS = 15_000L
