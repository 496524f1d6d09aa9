/** Tests in virtual time what instances fetch from each other when the store returns from an older copy. */
package pistachiopass.published

import org.junit.jupiter.api.Test
import kotlin.test.assertTrue

class EraFetchTest {
    @Test
    fun `few instances fetch all items when the store is written to while they enter an era`() {
        val fleet = FeedSimulation(DATA_CENTRES, PER_DATA_CENTRE, seed = 1, lossPercent = 1)
        repeat(ITEMS) { fleet.store.put("e$it", "1".encodeToByteArray()) }
        fleet.startAll()
        fleet.network.runUntil(START_MILLIS)
        fleet.store.keepCopy()
        repeat(LOST) { fleet.store.put("e$it", "2".encodeToByteArray()) }
        fleet.network.runUntil(START_MILLIS + SETTLE_MILLIS)
        val before = fleet.instances.mapValues { it.value.fetchedItems }
        fleet.store.returnToCopy()
        repeat(WRITES) {
            fleet.network.at(fleet.network.nowMillis + 1 + it * WRITE_MILLIS) {
                fleet.store.put("e${it % LOST}", "2".encodeToByteArray())
            }
        }
        fleet.network.runUntil(fleet.network.nowMillis + SETTLE_MILLIS)
        assertTrue(fleet.instances.values.all { it.position?.era == 1L })
        val fetched = fleet.instances.map { (host, instance) -> instance.fetchedItems - before.getValue(host) }
        val inFull = fetched.count { it >= ITEMS }
        println("${fetched.size} instances: ${fetched.sum()} items fetched, $inFull instances fetched all")
        assertTrue(inFull <= fetched.size / FETCHING_PART, "$inFull of ${fetched.size} instances fetched all items")
    }
}

private const val DATA_CENTRES = 4
private const val PER_DATA_CENTRE = 26
private const val ITEMS = 2_800
private const val LOST = 100
private const val FETCHING_PART = 10
private const val WRITE_MILLIS = 1L
private const val WRITES = 1_000
private const val START_MILLIS = 4_000L
private const val SETTLE_MILLIS = 3_000L
