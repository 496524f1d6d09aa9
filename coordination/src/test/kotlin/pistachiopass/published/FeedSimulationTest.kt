/**
 * Tests in virtual time that instances which share a few watches of the store learn of changes in time, never claim
 * their state to be fresher than it is, and make few calls to the store.
 */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private class Case(
    val name: String,
    val perDataCentre: Int = 20,
    val lossPercent: Int = 1,
    /** Injects the fault and returns the instances to which the bound on the age does not apply. */
    val fault: FeedSimulation.() -> Set<String>,
)

class FeedSimulationTest {
    private val watchersFail = Case("all watchers fail at once, and the members do not know yet") {
        watchers().onEach {
            network.disconnect(it)
            instances -= it
            membersOf = { hosts }
        }
    }
    private val cases = listOf(
        Case("nothing fails") { emptySet() },
        Case("datagrams get lost", lossPercent = 20) { emptySet() },
        Case("a fleet of 300", perDataCentre = 60) { emptySet() },
        watchersFail,
        Case("all watchers pause for 3 s") {
            watchers().onEach { network.pause(it, network.nowMillis + PAUSE_MILLIS) }
        },
        Case("a third of the instances has no path to the store") {
            isStoreAway = { it.hashCode() % 3 == 0 }
            emptySet()
        },
        Case("a data centre has no path to the store") {
            isStoreAway = { dataCentreOf(it) == "1" }
            emptySet()
        },
        Case("instances take each other for dead") {
            membersOf = { listOf(it) }
            emptySet()
        },
        Case("instances take dead ones for live") {
            membersOf = { hosts + DEAD_HOSTS }
            emptySet()
        },
        Case("a data centre is cut off from the others") {
            network.isCut = { from, to -> (dataCentreOf(from) == "2") != (dataCentreOf(to) == "2") }
            emptySet()
        },
        Case("instances restart one after the other") {
            hosts.forEachIndexed { index, host -> network.at(network.nowMillis + index * 100L) { start(host) } }
            emptySet()
        },
    )

    @TestFactory
    fun `the state of every instance is young, and never claimed to be younger than it is`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val fleet = FeedSimulation(
                    DATA_CENTRES,
                    case.perDataCentre,
                    seed = case.name.hashCode(),
                    case.lossPercent
                )
                fleet.startAll()
                fleet.network.runUntil(START_MILLIS)
                val worstMillis = fleet.worstAgeMillis(case.fault(fleet))
                assertEquals(emptyList(), fleet.instances.values.flatMap { it.falseClaims })
                assertTrue(worstMillis <= AGE_MAX_MILLIS, "the state of an instance was $worstMillis ms old")
            }
        }

    @TestFactory
    fun `the checks notice faulty variants`(): List<DynamicTest> = listOf(
        Defect.COUNTS_FROM_RECEIPT to Case("readers wake up with old updates in their receive buffers") {
            (hosts - watchers()).onEach { network.pause(it, network.nowMillis + PAUSE_MILLIS) }.toSet()
        },
        Defect.NEVER_WATCHES_ITSELF to watchersFail,
    ).map { (defect, case) ->
        DynamicTest.dynamicTest("$defect") {
            val fleet = FeedSimulation(DATA_CENTRES, perDataCentre = 20, seed = 5, lossPercent = 1)
            fleet.defect = defect
            fleet.startAll()
            fleet.network.runUntil(START_MILLIS)
            val worstMillis = fleet.worstAgeMillis(case.fault(fleet))
            val claims = fleet.instances.values.flatMap { it.falseClaims }
            assertTrue(claims.isNotEmpty() || worstMillis > AGE_MAX_MILLIS, "not noticed")
        }
    }

    @TestFactory
    fun `calls to the store grow with the data centres, not with the instances`(): List<DynamicTest> =
        listOf(20, 60).map { perDataCentre ->
            DynamicTest.dynamicTest("$perDataCentre instances in each of $DATA_CENTRES data centres") {
                val fleet = FeedSimulation(DATA_CENTRES, perDataCentre, seed = 4, lossPercent = 1)
                fleet.startAll()
                fleet.network.runUntil(START_MILLIS)
                println("$perDataCentre: ${fleet.store.calls} calls at the start")
                assertTrue(fleet.store.calls <= START_CALLS_MAX, "${fleet.store.calls} calls at the start")
                val before = fleet.store.calls
                fleet.worstAgeMillis(emptySet())
                val perSecond = (fleet.store.calls - before) * 1_000 / RUN_MILLIS
                println("$perDataCentre: $perSecond calls a second")
                assertTrue(perSecond <= DATA_CENTRES * CALLS_PER_DATA_CENTRE, "$perSecond calls a second")
            }
        }

    /** Publishes changes, small and large, for a while; returns the greatest age of the state of all but [excluded]. */
    private fun FeedSimulation.worstAgeMillis(excluded: Set<String>): Long {
        val startMillis = network.nowMillis
        var worstMillis = 0L
        var changes = 0
        while (network.nowMillis < startMillis + RUN_MILLIS) {
            network.runUntil(network.nowMillis + STEP_MILLIS)
            if (network.random.nextInt(STEPS_PER_CHANGE) == 0) {
                store.put("key-${changes++ % KEYS}", bytes = if (changes % KEYS == 0) LARGE_BYTES else SMALL_BYTES)
            }
            val running = instances.values.filter { it.host !in excluded && it.position != null }
            worstMillis = maxOf(worstMillis, running.maxOf { it.ageMillis() ?: Long.MAX_VALUE })
        }
        return worstMillis
    }
}

private const val DATA_CENTRES = 5
private val DEAD_HOSTS = (500 until 530).map { "10.${it % DATA_CENTRES}.0.$it" }
private const val START_MILLIS = 5_000L
private const val RUN_MILLIS = 12_000L
private const val STEP_MILLIS = 20L
private const val STEPS_PER_CHANGE = 10
private const val KEYS = 30
private const val SMALL_BYTES = 250
private const val LARGE_BYTES = 60_000
private const val PAUSE_MILLIS = 3_000L

/** Deployments want a configuration in force within two seconds; the rest is for the call to the store. */
private const val AGE_MAX_MILLIS = 1_950L

/** Two watchers in each data centre, and one call for every 200 ms while there are changes. */
private const val CALLS_PER_DATA_CENTRE = 10
private const val START_CALLS_MAX = 200
