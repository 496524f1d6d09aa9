/** Keeps the documents in force up to date by carrying out the actions of the document relay. */
package pistachiopass.entry.platform

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.metrics.PlatformOutcome
import pistachiopass.entry.metrics.Table
import pistachiopass.entry.peer.PeerNetwork
import pistachiopass.model.TableVersion
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call
import pistachiopass.peer.register
import pistachiopass.peer.sendToAll
import pistachiopass.status.TableStatus
import pistachiopass.tables.DocumentName
import pistachiopass.tables.TablesInForce
import pistachiopass.tables.relay.DocumentRequest
import pistachiopass.tables.relay.RelayAction
import pistachiopass.tables.relay.RelayEnvironment
import pistachiopass.tables.relay.RelayMember
import pistachiopass.tables.relay.TABLES_ANNOUNCED
import pistachiopass.tables.relay.TABLES_COMPARED
import pistachiopass.tables.relay.TABLE_RELAYED
import pistachiopass.tables.relay.TABLE_REQUESTED
import pistachiopass.tables.relay.TICK_MILLIS
import pistachiopass.tables.relay.TableRelay
import pistachiopass.tables.relay.WatchOutcome
import pistachiopass.tables.relay.tableRelayOf
import kotlin.time.TimeSource

/** Returns a controller that reads documents from [platform] and from peers and puts them in force in [tables]. */
public fun tablesControllerOf(
    platform: PlatformClient,
    network: PeerNetwork,
    tables: TablesInForce,
    metrics: Metrics,
): TablesController {
    val self = network.transport.self
    val environment = RelayEnvironment(
        RelayMember(self.instance, self.dataCentre),
        network.reachability,
        network.bootstrapPeers.toList(),
    )
    return TablesController(platform, network.transport, tableRelayOf(environment, tables, RelayLog()), metrics)
}

/** Carries out the actions of [relay] by calls to the platform and to other instances. */
public class TablesController(
    private val platform: PlatformClient,
    private val transport: PeerTransport,
    private val relay: TableRelay,
    private val metrics: Metrics,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** Whether the peers have been queried after the start and routes and pools are in force. */
    public val isReady: Boolean get() = relay.isReady

    /** Returns the current version and age of each document. */
    public fun statuses(): List<TableStatus> = relay.documents.statuses()

    /** Registers the message handlers and runs the relay until [scope] ends; call it before the transport listens. */
    public fun start(scope: CoroutineScope) {
        transport.register(TABLES_ANNOUNCED) { sender, versions ->
            scope.perform(relay.onAnnounced(sender.instance, versions))
        }
        transport.register(TABLES_COMPARED, TABLES_COMPARED) { sender, versions ->
            scope.perform(relay.onAnnounced(sender.instance, versions))
            relay.documents.versions()
        }
        transport.register(TABLE_REQUESTED, TABLE_RELAYED) { _, request -> relay.documents.relayedOf(request.document) }
        Table.entries.forEach { table ->
            val status = { statuses()[table.ordinal] }
            metrics.registerTable(table, { status().version.value }, { status().ageMillis })
        }
        scope.launch {
            while (isActive) {
                scope.perform(relay.tick())
                delay(TICK_MILLIS)
            }
        }
    }

    private fun CoroutineScope.perform(actions: List<RelayAction>): Unit = actions.forEach { action ->
        launch { perform(perform(action)) }
    }

    private suspend fun perform(action: RelayAction): List<RelayAction> = when (action) {
        is RelayAction.Watch -> watch(action)
        RelayAction.ReadList -> readInstanceList()
        is RelayAction.Announce -> announce(action)
        is RelayAction.Compare -> compare(action)
        is RelayAction.Fetch -> fetch(action)
    }

    private suspend fun watch(action: RelayAction.Watch): List<RelayAction> {
        val callStartedAt = clock.markNow()
        return relay.onWatched(action, watch(action.document, action.after, action.waitMillis), callStartedAt)
    }

    private suspend fun readInstanceList(): List<RelayAction> {
        relay.onListRead(watch(DocumentName.INSTANCES, TableVersion.NONE, waitMillis = 0))
        return emptyList()
    }

    private suspend fun watch(document: DocumentName, after: TableVersion, waitMillis: Long): WatchOutcome {
        val outcome = platform.watch(document.text, after, waitMillis)
        metrics.countPlatformCall(
            when (outcome) {
                is WatchOutcome.Changed -> PlatformOutcome.CHANGED
                WatchOutcome.Unchanged -> PlatformOutcome.UNCHANGED
                is WatchOutcome.Unavailable -> PlatformOutcome.FAILED
            },
        )
        return outcome
    }

    private suspend fun announce(action: RelayAction.Announce): List<RelayAction> {
        val message = TABLES_ANNOUNCED.encode(action.versions)
        transport.sendToAll(action.peers, message)
        return emptyList()
    }

    private suspend fun compare(action: RelayAction.Compare): List<RelayAction> {
        val callStartedAt = clock.markNow()
        val message = TABLES_COMPARED.encode(action.versions)
        val answer = transport.call(action.peer, message, TABLES_COMPARED, COMPARE_TIMEOUT_MILLIS).get()
        return relay.onCompared(action.peer, answer, callStartedAt)
    }

    private suspend fun fetch(action: RelayAction.Fetch): List<RelayAction> {
        val callStartedAt = clock.markNow()
        val message = TABLE_REQUESTED.encode(DocumentRequest(action.document))
        val answer = transport.call(action.peer, message, TABLE_RELAYED, FETCH_TIMEOUT_MILLIS).get()
        return relay.onFetched(action, answer, callStartedAt)
    }
}

private const val COMPARE_TIMEOUT_MILLIS: Long = 1_000
private const val FETCH_TIMEOUT_MILLIS: Long = 3_000
