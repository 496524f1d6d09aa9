/** Checks the guarantees of the relay in virtual time, and that the checks detect a relay that is faulty in one way. */
package pistachiopass.tables.relay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.InstanceId
import pistachiopass.tables.DocumentName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TableRelayTest {
    private class Case(val name: String, val scenario: Scenario = Scenario(), val script: RelaySimulation.() -> Unit)

    @TestFactory
    fun `versions never decrease and the last one is in force on all instances in time`(): List<DynamicTest> =
        cases.flatMap { case ->
            SEEDS.map { seed ->
                DynamicTest.dynamicTest("${case.name}, seed $seed") {
                    val simulation = RelaySimulation(case.scenario.copy(seed = seed)).startAll()
                    case.script(simulation)
                    assertEquals(emptyList(), simulation.versionRegressions())
                    assertTrue(simulation.isLastVersionInTime(), "${simulation.lastDelays()}")
                }
            }
        }

    @Test
    fun `a data centre that is cut off keeps its tables and catches up afterwards`() = SEEDS.forEach { seed ->
        val simulation = RelaySimulation(Scenario(seed = seed)).startAll()
        simulation.isolate(0, isCut = true)
        simulation.publishPools(version = 2)
        simulation.runFor(60_000)
        val (inside, outside) = simulation.members.partition { it.dataCentre == dc(0) }
        assertTrue(simulation.isInTime(DocumentName.POOLS, 2, outside.map { it.instance }), "seed $seed")
        assertEquals(listOf(1L), inside.map { simulation.versionsOf(DocumentName.POOLS)[it.instance] }.distinct())
        simulation.isolate(0, isCut = false)
        simulation.runFor(IN_FORCE_MILLIS)
        assertEquals(setOf(2L), simulation.versionsOf(DocumentName.POOLS).values.toSet(), "seed $seed")
        assertEquals(emptyList(), simulation.versionRegressions())
    }

    @Test
    fun `a data centre cut off from the platform is late without the relay`() {
        val withoutRelay = Scenario(announces = false, compares = false)
        listOf(Scenario() to true, withoutRelay to false).forEach { (scenario, expected) ->
            val simulation = RelaySimulation(scenario).startAll()
            simulation.platform.cutOff += dc(0)
            simulation.publishPools(version = 2)
            simulation.runFor(60_000)
            assertEquals(expected, simulation.isLastVersionInTime(), "$scenario")
        }
    }

    @Test
    fun `an instance that restarts with a stale platform uses no older version unless it asks no peers`() =
        listOf(true, false).forEach { asksPeersAtStart ->
            val regressionsBySeed = SEEDS.map { seed ->
                val simulation = RelaySimulation(Scenario(seed = seed, asksPeersAtStart = asksPeersAtStart)).startAll()
                simulation.publishPools(version = 2)
                simulation.runFor(5_000)
                simulation.platform.serveStale(DocumentName.POOLS)
                simulation.simulatedInstances.values.forEach {
                    simulation.restart(it)
                    simulation.runFor(3_000)
                }
                simulation.versionRegressions()
            }
            assertEquals(asksPeersAtStart, regressionsBySeed.all { it.isEmpty() }, "$regressionsBySeed")
        }

    @Test
    fun `platform calls grow with the number of data centres and not with the number of instances`() {
        val callsByScenario = listOf(
            Scenario(dataCentres = 3, perDataCentre = 3),
            Scenario(dataCentres = 3, perDataCentre = 16),
            Scenario(dataCentres = 6, perDataCentre = 3),
            Scenario(dataCentres = 3, perDataCentre = 16, settings = RelaySettings(readers = 16)),
        ).map { scenario ->
            val simulation = RelaySimulation(scenario).startAll()
            val before = simulation.platform.callsAtMillis.size
            simulation.runFor(60_000)
            simulation.platform.callsAtMillis.size - before
        }
        val (few, many, moreDataCentres) = callsByScenario
        assertEquals(few, many)
        assertEquals(2 * few, moreDataCentres)
        assertTrue(callsByScenario.last() > 4 * many, "the check detects when all instances watch: $callsByScenario")
    }

    @Test
    fun `a platform that comes back gets one call per reader and document in a second`() = SEEDS.forEach { seed ->
        listOf(RelaySettings() to true, RelaySettings(readers = 16) to false).forEach { (settings, expected) ->
            val scenario = Scenario(perDataCentre = 16, seed = seed, settings = settings)
            val simulation = RelaySimulation(scenario).startAll()
            simulation.platform.setDown(isDown = true)
            simulation.runFor(60_000)
            val backAtMillis = simulation.nowMillis
            simulation.platform.setDown(isDown = false)
            simulation.publishPools(version = 2)
            simulation.runFor(60_000)
            val watches = scenario.dataCentres * RelaySettings().readers * DocumentName.entries.size
            assertEquals(expected, simulation.peakCalls(backAtMillis) <= watches, "$scenario")
            assertTrue(simulation.isLastVersionInTime())
        }
    }

    @Test
    fun `no instance reports an age below the real one unless ages are not sent`() =
        listOf(Scenario() to true, Scenario(sendsAges = false) to false).forEach { (scenario, expected) ->
            val simulation = RelaySimulation(scenario).startAll()
            simulation.platform.setDown(isDown = true)
            val fromMillis = simulation.nowMillis
            simulation.runFor(20_000)
            simulation.restart(simulation.simulatedInstances.values.first())
            simulation.runFor(20_000)
            val ages = simulation.simulatedInstances.values.flatMap { instance ->
                instance.relay.documents.statuses().map { it.ageMillis }
            }
            assertEquals(
                expected,
                ages.all { it == null || it >= simulation.nowMillis - fromMillis },
                "$scenario: $ages",
            )
        }

    @Test
    fun `an instance starts from the platform if no peer answers, and from a bootstrap peer without the platform`() {
        val simulation = RelaySimulation(Scenario(dataCentres = 1, perDataCentre = 3)).startAll()
        simulation.simulatedInstances.values.forEach { it.stop() }
        val (alone, second) = simulation.simulatedInstances.values.toList()
        simulation.platform.setDown(isDown = true)
        alone.start()
        simulation.runFor(20_000)
        assertEquals(false, alone.relay.isReady, "neither a peer nor the platform has tables")
        simulation.platform.setDown(isDown = false)
        simulation.runFor(10_000)
        assertTrue(alone.relay.isReady)
        simulation.platform.setDown(isDown = true)
        second.start(bootstrap = listOf(alone.self.instance))
        simulation.runFor(2_000)
        assertTrue(second.relay.isReady)
    }

    private val cases = listOf(
        Case("no faults") {
            publishPools(version = 2)
            runFor(IN_FORCE_MILLIS)
        },
        Case("lost, duplicated and reordered messages", LOSSY) {
            (2L..6L).forEach { version ->
                publishPools(version)
                runFor(700)
            }
            runFor(IN_FORCE_MILLIS)
        },
        Case("one data centre cut off from the platform", LOSSY) {
            platform.cutOff += dc(1)
            publishPools(version = 2)
            runFor(IN_FORCE_MILLIS)
        },
        Case("only one data centre reaches the platform") {
            platform.cutOff += listOf(dc(0), dc(2))
            publishPools(version = 2)
            runFor(IN_FORCE_MILLIS)
        },
        Case("interleaved changes of two documents") {
            publishPools(version = 2)
            runFor(2)
            platform.publish(DocumentName.ROUTES, 2, """{"routes":[]}""")
            publishPools(version = 3)
            runFor(1)
            platform.publish(DocumentName.ROUTES, 3, """{"routes":[]}""")
            runFor(IN_FORCE_MILLIS)
        },
        Case("data centre out and back twice within seconds", LOSSY) {
            listOf(2L to 1, 3L to null, 4L to 1, 5L to null).forEach { (version, out) ->
                publishPools(version, out)
                runFor(1_500)
            }
            runFor(IN_FORCE_MILLIS)
        },
        Case("data centre out during a cut between two data centres") {
            cuts += setOf(dc(0), dc(1))
            platform.cutOff += dc(1)
            publishPools(version = 2, out = 0)
            runFor(IN_FORCE_MILLIS)
        },
        Case("stopped readers that are still in the instance list") {
            val readers = (0 until scenario.dataCentres).flatMap { list.readersOf(dc(it), 2) }
            readers.forEach { simulatedInstances.getValue(it).stop() }
            publishPools(version = 2)
            runFor(IN_FORCE_MILLIS)
        },
        Case("restarts during changes", LOSSY) {
            simulatedInstances.values.forEachIndexed { index, instance ->
                publishPools(index + 2L)
                restart(instance)
                runFor(1_000)
            }
            runFor(IN_FORCE_MILLIS)
        },
        Case("restarts while most calls fail", LOSSY.copy(lossPercent = 40)) {
            repeat(4) {
                simulatedInstances.values.forEach { restart(it) }
                runFor(20_000)
            }
            publishPools(version = 2)
            runFor(4 * IN_FORCE_MILLIS)
        },
        Case("restarts of all instances, which then read the platform") {
            simulatedInstances.values.forEach { it.stop() }
            simulatedInstances.values.forEach { it.start() }
            runFor(IN_FORCE_MILLIS)
            publishPools(version = 2)
            runFor(IN_FORCE_MILLIS)
        },
        Case("a refused version between valid ones") {
            platform.publish(DocumentName.POOLS, 2, """{"pool":1}""")
            runFor(1_000)
            publishPools(version = 3)
            runFor(IN_FORCE_MILLIS)
        },
    )
}

private fun RelaySimulation.restart(instance: SimulatedInstance) {
    instance.stop()
    instance.start()
}

private fun RelaySimulation.isolate(dataCentre: Int, isCut: Boolean) {
    cut(dataCentre, isCut)
    if (isCut) platform.cutOff += dc(dataCentre) else platform.cutOff -= dc(dataCentre)
}

private fun RelaySimulation.up(): List<InstanceId> = simulatedInstances.filterValues { it.isUp }.keys.toList()

private fun RelaySimulation.lastVersion(): Long = publishedAt.keys
    .filter { it.first == DocumentName.POOLS }
    .maxOf { it.second }

private fun RelaySimulation.isLastVersionInTime(): Boolean = isInTime(DocumentName.POOLS, lastVersion(), up())

private fun RelaySimulation.lastDelays(): List<Long?> = delays(DocumentName.POOLS, lastVersion(), up())

private val SEEDS = 1..5
private val LOSSY = Scenario(perDataCentre = 4, lossPercent = 10, duplicatePercent = 10, delayMillis = 1L..400L)
