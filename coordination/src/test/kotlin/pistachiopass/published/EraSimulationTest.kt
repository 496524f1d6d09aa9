/**
 * Tests in virtual time, over random orders of events, what instances believe when the store returns from older copies.
 *
 * The table only gets higher versions and is written again after a return, as are the entries of endpoints that run.
 * The entry of one that left, which a copy brings back, expires.
 */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What the operator and the endpoints of [fleet] write, and the faults that the instances meet. */
private class EraHistory(seed: Int, defect: Defect) {
    val fleet = FeedSimulation(dataCentres = 2, perDataCentre = 4, seed, lossPercent = 2)
    private val network = fleet.network
    private val store = fleet.store
    private val random = network.random
    private val truth = HashMap<String, String?>()
    private var version = 0
    private var awayUntilMillis = 0L
    private val cutUntilMillis = HashMap<String, Long>()
    private val highestVersions = HashMap<SimulatedReader, Int>()
    val violations = ArrayList<String>()

    init {
        fleet.defect = defect
        fleet.order = if (defect == Defect.BELIEVES_THE_COPY) ItemOrder.ByRevision else VersionOrder
        fleet.isStoreAway = { network.nowMillis < maxOf(awayUntilMillis, cutUntilMillis[it] ?: 0) }
        writeTable()
        repeat(ENDPOINTS) { write("e$it", "1:ready") }
        fleet.startAll()
    }

    fun run() {
        network.runUntil(START_MILLIS)
        repeat(EVENTS) {
            step(random.nextLong(EVENT_MILLIS))
            change()
        }
        repeat((SETTLE_MILLIS / EVENT_MILLIS).toInt()) { step(EVENT_MILLIS) }
        val expected = truth.filterValues { it != null }
        fleet.instances.values.forEach { instance ->
            val values = instance.values.filterValues { it != null }
            if (values != expected) violations += "${instance.host} ends with $values instead of $expected"
            if (instance.position?.era != store.position.era) violations += "${instance.host} is in an older era"
            violations += instance.falseClaims
        }
    }

    private fun change() {
        when (random.nextInt(CHOICES)) {
            0, 1 -> writeTable()
            2, 3 -> changeEndpoint("e${random.nextInt(ENDPOINTS)}")
            4 -> store.keepCopy()
            5 -> returnOlder()
            6 -> cutUntilMillis[fleet.hosts.random(random)] = network.nowMillis + random.nextLong(CUT_MILLIS)
            7 -> network.pause(fleet.hosts.random(random), network.nowMillis + random.nextLong(CUT_MILLIS))
            else -> fleet.start(fleet.hosts.random(random))
        }
    }

    private fun step(millis: Long) {
        val endMillis = network.nowMillis + millis
        while (network.nowMillis < endMillis) {
            network.runUntil(minOf(endMillis, network.nowMillis + CHECK_MILLIS))
            fleet.instances.values.forEach(::checkTable)
        }
    }

    private fun checkTable(instance: SimulatedReader) {
        val seen = instance.values[TABLE]?.toInt() ?: return
        val highest = highestVersions.merge(instance, seen, ::maxOf)
        if (highest != seen) violations += "${instance.host} goes back from $highest to $seen at ${network.nowMillis}"
    }

    private fun writeTable(): Unit = write(TABLE, "${++version}")

    private fun changeEndpoint(key: String) {
        val (sequence, state) = (truth[key] ?: "0:gone").split(':')
        val isLeaving = state == "draining"
        write(key, if (isLeaving) null else "${sequence.toInt() + 1}:${if (state == "ready") "draining" else "ready"}")
    }

    /** What is written while the store is away takes effect when it is written again. */
    private fun write(key: String, value: String?) {
        truth[key] = value
        if (network.nowMillis >= awayUntilMillis) store.put(key, value?.encodeToByteArray())
    }

    private fun returnOlder() {
        if (network.nowMillis < awayUntilMillis) return
        awayUntilMillis = network.nowMillis + AWAY_MILLIS
        network.at(awayUntilMillis) { store.returnToCopy() }
        truth.keys.forEach { key ->
            network.at(awayUntilMillis + random.nextLong(WRITE_AGAIN_MIN_MILLIS, WRITE_AGAIN_MAX_MILLIS)) {
                if (truth[key] != null) writeAgain(key)
            }
            network.at(awayUntilMillis + EXPIRY_MILLIS) { writeAgain(key) }
        }
    }

    private fun writeAgain(key: String) {
        if (store.valueOrNull(key) != truth[key]) write(key, truth[key])
    }
}

/** The table is its version; an endpoint is the number of its report and its state. */
private object VersionOrder : ItemOrder {
    override fun isReplaced(known: PublishedItem, next: PublishedItem): Boolean =
        known.key != TABLE || versionOf(next) >= versionOf(known)

    override fun beliefMillis(known: PublishedItem, next: PublishedItem): Long = when {
        known.key == TABLE -> if (versionOf(next) < versionOf(known)) Hold.UNTIL_REPLACED else 0
        next.isRemoved -> MISSING_HOLD_MILLIS
        known.isRemoved || versionOf(next) < versionOf(known) -> HOLD_MILLIS
        else -> 0
    }

    private fun versionOf(item: PublishedItem): Int =
        item.value?.decodeToString()?.substringBefore(':')?.toInt() ?: 0
}

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
private const val TABLE = "table"
private const val ENDPOINTS = 6
private const val CHOICES = 9
private const val EVENTS = 40
private const val EVENT_MILLIS = 500L
private const val CHECK_MILLIS = 50L
private const val START_MILLIS = 4_000L
private const val AWAY_MILLIS = 600L
private const val CUT_MILLIS = 5_000L
private const val WRITE_AGAIN_MIN_MILLIS = 100L
private const val WRITE_AGAIN_MAX_MILLIS = 2_000L
private const val EXPIRY_MILLIS = 3_600L
private const val MISSING_HOLD_MILLIS = 2_500L
private const val HOLD_MILLIS = 5_000L
private const val SETTLE_MILLIS = 13_000L
private const val LARGE_DATA_CENTRES = 16
private const val LARGE_PER_DATA_CENTRE = 26
private const val LARGE_ENDPOINTS = 2_800
private const val LARGE_LOST = 100
private const val LARGE_MAX_MILLIS = 2_000L

/** Two watchers in each data centre, and as many again for instances that watch for themselves. */
private const val LARGE_READS_MAX = LARGE_DATA_CENTRES * 4
