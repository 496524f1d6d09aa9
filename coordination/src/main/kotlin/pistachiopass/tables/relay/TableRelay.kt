/**
 * The relay of documents: a few instances of each data centre, the readers, watch the platform and inform the others.
 *
 * A reader announces a new version to its own data centre and to the readers of the others, which announce it there. An
 * instance that lacks the version fetches it from the one that announced it. Lost announcements are made up for by
 * comparing versions with one random peer at a time, pull first and then push, at a jittered period. The relay makes no
 * calls itself: it returns actions for its driver, which reports their results. See docs/design/tables.md.
 */
package pistachiopass.tables.relay

import pistachiopass.model.InstanceId
import pistachiopass.tables.DocumentName
import pistachiopass.tables.TablesInForce
import kotlin.time.ComparableTimeMark

/** Returns a relay that offers the received documents to [tables]. */
public fun tableRelayOf(
    environment: RelayEnvironment,
    tables: TablesInForce,
    observer: RelayObserver,
    settings: RelaySettings = RelaySettings(),
): TableRelay = TableRelay(environment, RelayedTables(tables, environment.clock, observer), observer, settings)

/**
 * Decides which documents to watch, announce, compare and fetch; thread-safe.
 *
 * Listeners of the documents in force run inside the functions of this class and must not call them.
 */
public class TableRelay internal constructor(
    private val environment: RelayEnvironment,
    /** The documents in force, in the form for peers. */
    public val documents: RelayedTables,
    private val observer: RelayObserver,
    private val settings: RelaySettings,
) {
    private val start = RelayStart(environment, settings)
    private val watches = PlatformWatches(settings, environment.clock, environment.random)
    private val fetches = DocumentFetches()
    private val peers = RelayPeers(environment, settings) { documents.state.instances?.value ?: start.platformList }
    private var isStarted = false
    private val hasTables: Boolean get() = documents.state.let { it.routes != null && it.pools != null } && hasList

    /** Whether an instance list is in force, or none that is valid is to be had; without it the peers are unknown. */
    private val hasList: Boolean
        get() = documents.state.instances != null || start.hasNoList || DocumentName.INSTANCES in documents.refused

    /** Whether the start has ended and routes, pools and, if there is one, the instance list are in force. */
    public val isReady: Boolean
        @Synchronized get() = isStarted && hasTables

    /** Returns the actions that are due; to be called every [TICK_MILLIS]. */
    @Synchronized
    public fun tick(): List<RelayAction> = if (isStarted) dueActions() else startActions()

    /** Returns the actions that follow from an announcement of [peer]. */
    @Synchronized
    public fun onAnnounced(peer: InstanceId, versions: TableVersions): List<RelayAction> = fetchWanted(peer, versions)

    /** Takes the response of [peer] to a comparison, or null when the call, begun at [callStartedAt], failed. */
    @Synchronized
    public fun onCompared(
        peer: InstanceId,
        versions: TableVersions?,
        callStartedAt: ComparableTimeMark,
    ): List<RelayAction> {
        start.onReply(peer, versions)
        if (versions == null) peers.compareSoon()
        versions?.documents?.forEach { documents.confirm(it, callStartedAt) }
        return versions?.let { fetchWanted(peer, it) }.orEmpty()
    }

    /** Takes the document that [action] returned, or null when the call failed. */
    @Synchronized
    public fun onFetched(
        action: RelayAction.Fetch,
        relayed: RelayedDocument?,
        callStartedAt: ComparableTimeMark,
    ): List<RelayAction> {
        if (relayed == null) peers.compareSoon()
        val isNew = relayed != null && relayed.document == action.document &&
            documents.offer(relayed, action.peer, callStartedAt)
        val next = fetches.onEndedOrNull(action.document, documents.state.versionOf(action.document))
        val localPeers = peers.localPeers()
        val passedOn = if (isNew && action.peer !in localPeers) announce(action.document, localPeers) else emptyList()
        return listOfNotNull(next) + passedOn
    }

    /** Takes the result of a watch that [tick] returned. */
    @Synchronized
    public fun onWatched(
        action: RelayAction.Watch,
        outcome: WatchOutcome,
        callStartedAt: ComparableTimeMark,
    ): List<RelayAction> {
        val document = action.document
        watches.onEnded(document, outcome)?.let { observer.onPlatformReachability(document, it) }
        if (outcome is WatchOutcome.Unchanged) {
            if (document == DocumentName.INSTANCES) start.onListUnchanged(action.after)
            documents.confirm(DocumentVersion(document, action.after, ageMillis = 0), callStartedAt)
        }
        val isNew = outcome is WatchOutcome.Changed &&
            documents.offer(document, outcome.document.version, outcome.document.value)
        return if (isNew) announce(document, peers.localPeers() + peers.remoteReaders()) else emptyList()
    }

    /** Takes the instance list that the platform returned during the start. */
    @Synchronized
    public fun onListRead(outcome: WatchOutcome): Unit = start.onListRead(outcome)

    private fun startActions(): List<RelayAction> =
        when (val step = start.next(documents.state.instances?.value, fetches.isRunning)) {
            StartStep.Wait -> emptyList()
            is StartStep.Ask -> step.peers.map { RelayAction.Compare(it, documents.versions()) }
            StartStep.ReadList -> listOf(RelayAction.ReadList)
            StartStep.Done -> {
                isStarted = true
                observer.onStarted(start.answers)
                dueActions()
            }
        }

    private fun dueActions(): List<RelayAction> {
        val partner = peers.partnerOrNull(hasTables)
        val comparison = partner?.let { RelayAction.Compare(it, documents.versions()) }
        return watches.actionsDue(peers.isReader()) + listOfNotNull(comparison)
    }

    private fun fetchWanted(peer: InstanceId, versions: TableVersions): List<RelayAction> =
        versions.documents.filter(documents::isWanted)
            .mapNotNull { fetches.onOfferedOrNull(peer, it.document, it.version) }

    private fun announce(document: DocumentName, receivers: List<InstanceId>): List<RelayAction> {
        val version = DocumentVersion(document, documents.state.versionOf(document))
        val announcement = RelayAction.Announce(receivers, TableVersions(listOf(version)))
        return if (receivers.isEmpty()) emptyList() else listOf(announcement)
    }
}

/** Time between two calls of [TableRelay.tick]. */
public const val TICK_MILLIS: Long = 100
