/** A simulation of instances, platform and network in virtual time, driven by one seed. */
package pistachiopass.tables.relay

import kotlinx.serialization.json.Json
import pistachiopass.membership.Reachability
import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.Published
import pistachiopass.model.TableVersion
import pistachiopass.tables.DocumentName
import pistachiopass.tables.OfferOutcome
import pistachiopass.tables.tablesInForceOf
import java.util.EnumMap
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** The setup of a run; each of the last four properties, set to false, makes the relay faulty in one way. */
internal data class Scenario(
    val dataCentres: Int = 3,
    val perDataCentre: Int = 3,
    val seed: Int = 1,
    val lossPercent: Int = 0,
    val duplicatePercent: Int = 0,
    val delayMillis: LongRange = 1L..5L,
    val settings: RelaySettings = RelaySettings(),
    val announces: Boolean = true,
    val compares: Boolean = true,
    val asksPeersAtStart: Boolean = true,
    val sendsAges: Boolean = true,
)

/** A version that an instance had in force from [atMillis] on. */
internal data class Applied(
    val atMillis: Long,
    val instance: InstanceId,
    val document: DocumentName,
    val version: Long,
)

/** Runs instances with one fake platform. */
internal class RelaySimulation(val scenario: Scenario) {
    private class Step(val atMillis: Long, val order: Long, val run: () -> Unit)

    val clock = TestTimeSource()
    val random = Random(scenario.seed)
    var nowMillis = 0L
        private set
    private var steps = PriorityQueue(compareBy<Step>({ it.atMillis }, { it.order }))
    private var order = 0L
    val accepted = ArrayList<Applied>()

    /** The versions, or 0, that instances used for requests: those when they became ready, and all later ones. */
    val history = ArrayList<Applied>()
    val publishedAt = HashMap<Pair<DocumentName, Long>, Long>()
    val platform = FakePlatform(this)
    val cuts = HashSet<Set<DataCentreId>>()
    var messages = 0L
    var bytes = 0L
    val members = (0 until scenario.dataCentres).flatMap { dataCentre ->
        (0 until scenario.perDataCentre).map { RelayMember(InstanceId("i$dataCentre-$it"), dc(dataCentre)) }
    }
    val list = InstanceList(
        members.mapIndexed { index, member ->
            Instance(member.instance, member.dataCentre, "10.0.0.1:${index + 1}", "10.0.0.2:${index + 1}")
        },
    )
    val simulatedInstances = members.associate { it.instance to SimulatedInstance(this, it) }

    /** Schedules [run] at [delayMillis] from now. */
    fun at(delayMillis: Long, run: () -> Unit) {
        steps += Step(nowMillis + delayMillis, order++, run)
    }

    fun runFor(millis: Long) {
        val endMillis = nowMillis + millis
        while (steps.isNotEmpty() && steps.peek().atMillis <= endMillis) {
            val step = steps.remove()
            moveTo(step.atMillis)
            step.run()
        }
        moveTo(endMillis)
    }

    /** Delivers a message, possibly twice, unless it is lost or the connection is cut. */
    fun send(from: RelayMember, to: InstanceId, sizeBytes: Int, deliver: (SimulatedInstance) -> Unit) {
        messages++
        bytes += sizeBytes + FRAME_OVERHEAD_BYTES
        val instance = simulatedInstances.getValue(to)
        val copies = if (random.nextInt(100) < scenario.duplicatePercent) 2 else 1
        repeat(copies) {
            val isLost = random.nextInt(100) < scenario.lossPercent
            at(random.nextLong(scenario.delayMillis.first, scenario.delayMillis.last + 1)) {
                val isCut = setOf(from.dataCentre, instance.self.dataCentre) in cuts
                if (!isLost && !isCut && instance.isUp) deliver(instance)
            }
        }
    }

    fun cut(dataCentre: Int, isCut: Boolean) = (0 until scenario.dataCentres).filter { it != dataCentre }.forEach {
        val pair = setOf(dc(dataCentre), dc(it))
        if (isCut) cuts += pair else cuts -= pair
    }

    fun versionsOf(document: DocumentName): Map<InstanceId, Long> =
        simulatedInstances.mapValues { it.value.versionOf(document) }

    private fun moveTo(millis: Long) {
        clock += (millis - nowMillis).milliseconds
        nowMillis = millis
    }
}

/** A platform that answers watches and counts calls; it can be stale, down, or cut off from data centres. */
internal class FakePlatform(private val simulation: RelaySimulation) {
    private val current = EnumMap<DocumentName, Published<String>>(DocumentName::class.java)
    private var stale: Map<DocumentName, Published<String>>? = null
    private val earlier = EnumMap<DocumentName, Published<String>>(DocumentName::class.java)
    private val waiting = ArrayList<Waiting>()
    private var isOffline = false
    val cutOff = HashSet<DataCentreId>()
    val callsAtMillis = ArrayList<Long>()

    private class Waiting(val from: RelayMember, val action: RelayAction.Watch, val end: (WatchOutcome) -> Unit)

    fun publish(document: DocumentName, version: Long, text: String) {
        current[document]?.let { earlier[document] = it }
        current[document] = Published(document.text, TableVersion(version), text)
        simulation.publishedAt[document to version] = simulation.nowMillis
        waiting.filter { it.from.dataCentre !in cutOff && !isOffline }
            .forEach { entry -> changedOrNull(entry.action)?.let { end(entry, it) } }
    }

    /** Returns the previous version of [document] from now on. */
    fun serveStale(document: DocumentName) {
        stale = current + (document to earlier.getValue(document))
    }

    /** Takes the platform down, which fails all waiting watches, or brings it back. */
    fun setDown(isDown: Boolean) {
        isOffline = isDown
        if (isDown) waiting.toList().forEach { end(it, WatchOutcome.Unavailable("down")) }
    }

    fun watch(from: RelayMember, action: RelayAction.Watch, end: (WatchOutcome) -> Unit) {
        callsAtMillis += simulation.nowMillis
        val changed = changedOrNull(action)
        when {
            isOffline || from.dataCentre in cutOff -> simulation.at(CALL_MILLIS) { end(WatchOutcome.Unavailable("")) }
            changed != null -> simulation.at(CALL_MILLIS) { end(changed) }
            else -> Waiting(from, action, end).let { entry ->
                waiting += entry
                simulation.at(action.waitMillis) { end(entry, WatchOutcome.Unchanged) }
            }
        }
    }

    private fun end(entry: Waiting, outcome: WatchOutcome) {
        val isCut = isOffline || entry.from.dataCentre in cutOff
        val answer = if (isCut) WatchOutcome.Unavailable("cut off") else outcome
        if (waiting.remove(entry)) simulation.at(CALL_MILLIS) { entry.end(answer) }
    }

    private fun changedOrNull(action: RelayAction.Watch): WatchOutcome? =
        (stale ?: current)[action.document]?.takeIf { it.version > action.after }?.let {
            WatchOutcome.Changed(Published(it.name, it.version, Json.parseToJsonElement(it.value)))
        }
}

/** One instance over all its incarnations. */
internal class SimulatedInstance(private val simulation: RelaySimulation, val self: RelayMember) {
    var isUp = false
        private set

    /** Changes at every start and stop; callbacks from an earlier epoch are ignored. */
    private var epoch = 0
    private var reachability = Reachability(3_000, simulation.clock)
    private var tables = tablesInForceOf()
    lateinit var relay: TableRelay
        private set

    fun start(bootstrap: List<InstanceId> = emptyList()) {
        epoch++
        isUp = true
        reachability = Reachability(3_000, simulation.clock)
        tables = tablesInForceOf()
        val random = Random(simulation.random.nextInt())
        val environment = RelayEnvironment(self, reachability, bootstrap, simulation.clock, random)
        val mine = epoch
        val observer = History { document, version ->
            if (mine == epoch) simulation.accepted += Applied(simulation.nowMillis, self.instance, document, version)
            if (mine == epoch && relay.isReady) recordServed(document, version)
        }
        relay = tableRelayOf(environment, tables, observer, simulation.scenario.settings)
        var wasReady = false
        loop(random.nextLong(TICK_MILLIS), TICK_MILLIS) {
            perform(relay.tick())
            if (relay.isReady && !wasReady) DocumentName.entries.forEach { recordServed(it, versionOf(it)) }
            wasReady = relay.isReady
        }
        loop(random.nextLong(HEARTBEAT_MILLIS), HEARTBEAT_MILLIS, ::sendHeartbeats)
    }

    fun stop() {
        epoch++
        isUp = false
    }

    fun versionOf(document: DocumentName): Long = tables.state.value.versionOf(document).value

    private fun recordServed(document: DocumentName, version: Long) {
        simulation.history += Applied(simulation.nowMillis, self.instance, document, version)
    }

    private fun loop(firstMillis: Long, periodMillis: Long, run: () -> Unit): Unit = inIncarnation(firstMillis) {
        run()
        loop(periodMillis, periodMillis, run)
    }

    private fun inIncarnation(delayMillis: Long, run: () -> Unit) {
        val mine = epoch
        simulation.at(delayMillis) { if (mine == epoch) run() }
    }

    private fun sendHeartbeats() = tables.state.value.instances?.value?.localPeersOf(self).orEmpty().forEach { peer ->
        val other = simulation.simulatedInstances.getValue(peer)
        val isLost = simulation.random.nextInt(100) < simulation.scenario.lossPercent
        if (!isLost && other.isUp) other.reachability.recordHeartbeat(self.instance)
    }

    private fun perform(actions: List<RelayAction>): Unit = actions.forEach(::perform)

    private fun perform(action: RelayAction) {
        val callStartedAt = simulation.clock.markNow()
        when (action) {
            is RelayAction.Watch -> watch(action) { perform(relay.onWatched(action, it, callStartedAt)) }
            RelayAction.ReadList -> watch(LIST_WATCH) { relay.onListRead(it) }
            is RelayAction.Announce -> if (simulation.scenario.announces) action.peers.forEach { announce(it, action) }
            is RelayAction.Compare -> compare(action) { perform(relay.onCompared(action.peer, it, callStartedAt)) }
            is RelayAction.Fetch -> fetch(action) { perform(relay.onFetched(action, it, callStartedAt)) }
        }
    }

    private fun watch(action: RelayAction.Watch, end: (WatchOutcome) -> Unit) {
        val mine = epoch
        simulation.platform.watch(self, action) { if (mine == epoch) end(it) }
    }

    private fun announce(peer: InstanceId, action: RelayAction.Announce): Unit =
        simulation.send(self, peer, TABLES_ANNOUNCED.encode(action.versions).payload.size) { other ->
            other.perform(other.relay.onAnnounced(self.instance, action.versions))
        }

    private fun compare(action: RelayAction.Compare, end: (TableVersions?) -> Unit) {
        val size = TABLES_COMPARED.encode(action.versions).payload.size
        val isMuted = !simulation.scenario.compares || (!simulation.scenario.asksPeersAtStart && !relay.isReady)
        call(action.peer, if (isMuted) null else size, end) { other ->
            other.perform(other.relay.onAnnounced(self.instance, action.versions))
            val versions = other.relay.documents.versions()
            (if (simulation.scenario.sendsAges) versions else versions.withZeroAges()) to size
        }
    }

    private fun fetch(action: RelayAction.Fetch, end: (RelayedDocument?) -> Unit): Unit =
        call(action.peer, DOCUMENT_REQUEST_BYTES, end) { other ->
            val document = other.relay.documents.relayedOf(action.document)
            document to (document.body?.size ?: 0)
        }

    /** Calls [peer] with a message of [sizeBytes], not sent if null; calls [end] once, at the latest on time-out. */
    private fun <T : Any> call(
        peer: InstanceId,
        sizeBytes: Int?,
        end: (T?) -> Unit,
        answer: (SimulatedInstance) -> Pair<T, Int>,
    ) {
        val mine = epoch
        var hasEnded = false
        val finish = { value: T? ->
            if (mine == epoch && !hasEnded) {
                hasEnded = true
                end(value)
            }
        }
        simulation.at(CALL_TIMEOUT_MILLIS) { finish(null) }
        if (sizeBytes == null) return
        simulation.send(self, peer, sizeBytes) { other ->
            val (value, bytes) = answer(other)
            simulation.send(other.self, self.instance, bytes) { finish(value) }
        }
    }
}

private class History(private val accepted: (DocumentName, Long) -> Unit) : RelayObserver {
    override fun onOffered(document: DocumentName, version: TableVersion, peer: InstanceId?, outcome: OfferOutcome) {
        if (outcome is OfferOutcome.Accepted) accepted(document, version.value)
    }

    override fun onStarted(answers: Int) = Unit

    override fun onPlatformReachability(document: DocumentName, isReachable: Boolean) = Unit
}

private fun TableVersions.withZeroAges() = TableVersions(documents.map { it.copy(ageMillis = 0) })

internal fun dc(index: Int): DataCentreId = DataCentreId("dc$index")

private val LIST_WATCH = RelayAction.Watch(DocumentName.INSTANCES, TableVersion.NONE, waitMillis = 0)
private const val FRAME_OVERHEAD_BYTES = 36 + 40
private const val CALL_MILLIS = 3L
private const val CALL_TIMEOUT_MILLIS = 1_000L
private const val HEARTBEAT_MILLIS = 1_000L
private const val DOCUMENT_REQUEST_BYTES = 30
