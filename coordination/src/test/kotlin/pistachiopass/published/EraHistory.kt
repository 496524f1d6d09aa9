/**
 * Random orders of events in virtual time, among them returns of the store from older copies.
 *
 * The table only gets higher versions and is written again after a return, as are the entries of endpoints that run.
 * The entry of one that left, which a copy brings back, expires.
 */
package pistachiopass.published

/** What the operator and the endpoints of [fleet] write, and the faults that the instances meet. */
internal class EraHistory(seed: Int, defect: Defect) {
    val fleet = FeedSimulation(dataCentres = 2, perDataCentre = 4, seed, lossPercent = 2)
    private val network = fleet.network
    private val store = fleet.store
    private val random = network.random
    private val truth = HashMap<String, String?>()
    private var version = 0
    private var awayUntilMillis = 0L
    private val cutUntilMillis = HashMap<String, Long>()
    private val highestVersions = HashMap<SimulatedReader, Int>()
    private val lastSequences = HashMap<String, Int>()
    private val latestReports = HashMap<Pair<SimulatedReader, String>, Int>()
    val violations = ArrayList<String>()

    /** Instances that took an earlier report of an endpoint than they knew, say that it does not leave after all. */
    val takenBack = ArrayList<String>()

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
            fleet.instances.values.forEach(::checkEndpoints)
        }
    }

    private fun checkEndpoints(instance: SimulatedReader) = repeat(ENDPOINTS) { number ->
        val (sequence, state) = instance.values["e$number"]?.split(':') ?: return@repeat
        val report = sequence.toInt() * 2 + if (state == "ready") 0 else 1
        val latest = latestReports.merge(instance to "e$number", report, ::maxOf)
        val sinceMillis = network.nowMillis - awayUntilMillis
        if (latest != report) takenBack += "${instance.host} takes e$number as $sequence:$state after $sinceMillis ms"
    }

    private fun checkTable(instance: SimulatedReader) {
        val seen = instance.values[TABLE]?.toInt() ?: return
        val highest = highestVersions.merge(instance, seen, ::maxOf)
        if (highest != seen) violations += "${instance.host} goes back from $highest to $seen at ${network.nowMillis}"
    }

    private fun writeTable(): Unit = write(TABLE, "${++version}")

    private fun changeEndpoint(key: String) {
        val state = truth[key]?.substringAfter(':')
        val sequence = lastSequences.merge(key, 2, Int::plus)
        write(key, if (state == "draining") null else "$sequence:${if (state == "ready") "draining" else "ready"}")
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
internal object VersionOrder : ItemOrder {
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
