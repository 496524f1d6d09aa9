/** Tests in virtual time what instances believe when the store returns from older copies; see [EraHistory]. */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EraSimulationTest {
    @Test
    fun `no instance goes back or stays behind when the store returns from older copies`() {
        (1..SEEDS).forEach { seed ->
            val history = EraHistory(seed, Defect.NONE).also { it.run() }
            assertEquals(emptyList(), history.violations.take(VIOLATIONS_SHOWN), "seed $seed")
        }
    }

    @TestFactory
    fun `the checks notice faulty variants`(): List<DynamicTest> =
        listOf(Defect.KNOWS_NO_ERAS, Defect.BELIEVES_THE_COPY).map { defect ->
            DynamicTest.dynamicTest("$defect") {
                val failed = (1..SEEDS_OF_VARIANTS).count { seed ->
                    EraHistory(seed, defect).also { it.run() }.violations.isNotEmpty()
                }
                println("$defect: noticed with $failed of $SEEDS_OF_VARIANTS seeds")
                assertTrue(failed > 0, "not noticed")
            }
        }

    @Test
    fun `a large fleet enters a new era within 2 s of the first instance, most of it without the store`() {
        val fleet = FeedSimulation(LARGE_DATA_CENTRES, LARGE_PER_DATA_CENTRE, seed = 1, lossPercent = 1)
        fleet.order = VersionOrder
        repeat(LARGE_ENDPOINTS) { fleet.store.put("e$it", "1:ready".encodeToByteArray()) }
        fleet.startAll()
        fleet.network.runUntil(START_MILLIS)
        fleet.store.keepCopy()
        repeat(LARGE_LOST) { fleet.store.put("e$it", "2:draining".encodeToByteArray()) }
        fleet.network.runUntil(START_MILLIS + AWAY_MILLIS)
        val readsBefore = fleet.store.fullReads
        val itemsBefore = fleet.instances.values.sumOf { it.fetchedItems }
        fleet.store.returnToCopy()
        val returnedMillis = fleet.network.nowMillis
        var firstMillis: Long? = null
        while (fleet.instances.values.any { it.position?.era != 1L }) {
            fleet.network.runUntil(fleet.network.nowMillis + 1)
            if (firstMillis == null && fleet.instances.values.any { it.position?.era == 1L }) {
                firstMillis = fleet.network.nowMillis
            }
            assertTrue(fleet.network.nowMillis < returnedMillis + LARGE_MAX_MILLIS, "some instances stay behind")
        }
        val reads = fleet.store.fullReads - readsBefore
        val items = fleet.instances.values.sumOf { it.fetchedItems } - itemsBefore
        val afterMillis = fleet.network.nowMillis - checkNotNull(firstMillis)
        println("${fleet.hosts.size} instances: $afterMillis ms, $reads full reads, $items items fetched")
        assertTrue(afterMillis <= LARGE_MAX_MILLIS, "$afterMillis ms after the first")
        assertTrue(reads <= LARGE_READS_MAX, "$reads full reads")
    }
}

private const val SEEDS = 500
private const val SEEDS_OF_VARIANTS = 20
private const val VIOLATIONS_SHOWN = 3
private const val START_MILLIS = 4_000L
private const val AWAY_MILLIS = 600L
private const val LARGE_DATA_CENTRES = 16
private const val LARGE_PER_DATA_CENTRE = 26
private const val LARGE_ENDPOINTS = 2_800
private const val LARGE_LOST = 100
private const val LARGE_MAX_MILLIS = 2_000L

/** Two watchers in each data centre, and as many again for instances that watch for themselves. */
private const val LARGE_READS_MAX = LARGE_DATA_CENTRES * 4
