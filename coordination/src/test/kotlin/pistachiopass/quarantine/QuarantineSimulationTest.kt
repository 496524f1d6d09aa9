/** Tests the quarantine of prompt parts in virtual time, for fleets of 8 to 410 instances. */
package pistachiopass.quarantine

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private class FleetCase(
    val name: String,
    val load: SimulatedLoad,
    /** Time after the fifth crash from which on almost no request with the part may reach an engine. */
    val learnMillis: Long = 3_000,
    val fault: QuarantineSimulation.() -> Unit = {},
) {
    override fun toString(): String = name
}

class QuarantineSimulationTest {
    private val cases = listOf(8, 30, 95, 410).flatMap { instances ->
        listOf(1, 2, 3).map { seed ->
            val scale = maxOf(1, instances / 30)
            FleetCase(
                "$instances instances, seed $seed",
                SimulatedLoad(
                    instances,
                    engines = 18 * scale,
                    soundPerSecond = 40 * scale,
                    crashingPerSecond = 1.4 * scale,
                    seed = seed,
                ),
            )
        }
    } + listOf(
        FleetCase("one request in three seconds", SimulatedLoad(8, crashingPerSecond = 0.3, seed = 4)),
        FleetCase("the part precedes the one that is shared", SimulatedLoad(8, isLast = false, seed = 5)),
        FleetCase("a tenth of the messages lost", SimulatedLoad(30, lossPercent = 10, seed = 6)),
        FleetCase("each instance restarted once, in turn", SimulatedLoad(8, seed = 7)) {
            repeat(8) { host ->
                network.at(8_000L + host * 1_500) { kill(host) }
                network.at(8_600L + host * 1_500) { start(host) }
            }
        },
        FleetCase("most instances killed at once", SimulatedLoad(8, seed = 8)) {
            network.at(12_000) { repeat(6) { kill(it) } }
            network.at(13_000) { repeat(6) { start(it) } }
        },
        FleetCase("a sixth of the engines end at once, again and again", SimulatedLoad(8, seed = 9)) {
            repeat(8) { network.at(5_000L + it * 2_500) { endEngines(0.17) } }
        },
        FleetCase("an instance is paused while others learn", SimulatedLoad(8, seed = 10), learnMillis = 6_000) {
            network.at(4_500) { network.pause(3, 8_000) }
        },
    )

    @TestFactory
    fun `a part that ends engines is refused everywhere in time and sound parts are not`(): List<DynamicTest> =
        cases.map { DynamicTest.dynamicTest("$it") { check(it) } }

    private fun check(case: FleetCase) {
        val simulation = QuarantineSimulation(case.load)
        simulation.crashingRequests(BEGIN_MILLIS, END_MILLIS)
        simulation.apply(case.fault)
        simulation.network.runUntil(BEGIN_MILLIS)
        val bytesBefore = simulation.bytes
        simulation.network.runUntil(END_MILLIS)
        val late = simulation.lateSends(case.learnMillis)
        val bytesPerSecond =
            (simulation.bytes - bytesBefore) * 1_000 / (END_MILLIS - BEGIN_MILLIS) / case.load.instances
        println(
            "$case: ${simulation.crashMillis.size} engines ended, $late late, $bytesPerSecond bytes a second, " +
                "${simulation.quarantined.size - 1} sound parts quarantined",
        )
        assertTrue(late <= LATE_MAX, "$late requests reached engines too late")
        assertEquals(setOf(CRASHING_PART), simulation.quarantined, "quarantined parts")
        assertEquals(0, simulation.soundRefused, "sound requests refused")
        assertTrue(bytesPerSecond < BYTES_PER_SECOND_MAX, "$bytesPerSecond bytes a second and instance")
    }

    @TestFactory
    fun `sound parts are not quarantined when engines end for other reasons`(): List<DynamicTest> =
        (1..SOUND_SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val simulation = QuarantineSimulation(SimulatedLoad(8, seed = seed))
                repeat(12) { simulation.network.at(3_000L + it * 2_000) { simulation.endEngines(0.3) } }
                simulation.network.at(28_000) { simulation.endEngines(1.0) }
                simulation.network.runUntil(END_MILLIS)
                assertEquals(emptySet(), simulation.quarantined)
            }
        }

    @TestFactory
    fun `a quarantine ends by itself, and by an operator at all instances`(): List<DynamicTest> = listOf<
        Triple<String, QuarantineSimulation.() -> Unit, Long>,
        >(
        Triple("by a trial that is answered", { crashingRequests(BEGIN_MILLIS, BEGIN_MILLIS + 5_000) }, 200_000),
        Triple(
            "by an operator",
            {
                crashingRequests(BEGIN_MILLIS, BEGIN_MILLIS + 5_000)
                network.at(20_000) { processes.getValue(5).quarantine.lift(CRASHING_PART) }
            },
            23_000,
        ),
    ).map { (name, events, endMillis) ->
        DynamicTest.dynamicTest(name) {
            val simulation = QuarantineSimulation(SimulatedLoad(8, seed = 11)).apply(events)
            simulation.network.runUntil(BEGIN_MILLIS + 10_000)
            assertEquals(8, simulation.refusing(), "instances that refuse the part")
            simulation.network.runUntil(endMillis)
            assertEquals(0, simulation.refusing(), "instances that still refuse the part")
            assertEquals(0, simulation.processes.values.sumOf { it.quarantine.quarantined().size })
        }
    }
}

/** Returns the requests with the part that reached engines later than [learnMillis] after the fifth crash. */
private fun QuarantineSimulation.lateSends(learnMillis: Long): Int {
    val fifthMillis = crashMillis.getOrNull(4) ?: return 0
    val fromMillis = fifthMillis + learnMillis
    return crashingSends.count { (atMillis, ranMillis) -> atMillis > fromMillis && ranMillis >= TOUCH_MILLIS }
}

private const val BEGIN_MILLIS = 4_000L
private const val END_MILLIS = 30_000L

/** Time after its start from which on an instance is expected to know what others do. */
private const val TOUCH_MILLIS = 3_000L

/** The users allow three requests with the part to reach engines after that. */
private const val LATE_MAX = 3
private const val SOUND_SEEDS = 40

/** The users allow 19 KB a second for control on each instance, in both directions together. */
private const val BYTES_PER_SECOND_MAX = 9_500L
