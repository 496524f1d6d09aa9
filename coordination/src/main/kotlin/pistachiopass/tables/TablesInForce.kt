/**
 * The controller of the documents in force: the last accepted version of each document, by which this instance serves
 * requests.
 *
 * The controller uses neither a clock nor the network. A version may come from the platform or from another instance
 * that has accepted it; only the order of versions decides which one is in force. See docs/design/tables.md.
 */
package pistachiopass.tables

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.json.JsonElement
import pistachiopass.model.InstanceList
import pistachiopass.model.PoolsTable
import pistachiopass.model.Published
import pistachiopass.model.RoutesTable
import pistachiopass.model.TableVersion
import pistachiopass.status.TableStatus
import java.util.concurrent.CopyOnWriteArrayList

/** The last accepted version of each document; null while none has been accepted. */
public data class TablesState(
    val routes: Published<RoutesTable>? = null,
    val pools: Published<PoolsTable>? = null,
    val instances: Published<InstanceList>? = null,
    /** Problems between the documents in force; they do not prevent a document from being in force. */
    val crossDocumentProblems: List<Problem> = emptyList(),
) {
    /** Returns the version of [document] that is in force, or [TableVersion.NONE]. */
    public fun versionOf(document: DocumentName): TableVersion =
        when (document) {
            DocumentName.ROUTES -> routes?.version
            DocumentName.POOLS -> pools?.version
            DocumentName.INSTANCES -> instances?.version
        } ?: TableVersion.NONE
}

/** The result of offering a version of a document. */
public sealed interface OfferOutcome {
    /** The version is now in force, despite [warnings]. */
    public data class Accepted(val warnings: List<Problem>) : OfferOutcome

    /** The version was already in force; its age has been reset. */
    public data object Unchanged : OfferOutcome

    /** The version is lower than [inForce], the one in force, and was ignored. */
    public data class Older(val inForce: TableVersion) : OfferOutcome

    /** The version has errors and was refused as a whole; the last accepted version stays in force. */
    public data class Refused(val problems: List<Problem>) : OfferOutcome

    /** The version was refused earlier and was not checked again. */
    public data object RefusedBefore : OfferOutcome
}

/** A listener for accepted documents. */
public fun interface TablesListener {
    /** Is called once for each accepted [document], in the order of acceptance, with the [state] right after it. */
    public fun onChange(
        document: DocumentName,
        state: TablesState,
    )
}

/** Returns a controller that has no documents yet and applies the given checks. */
public fun tablesInForceOf(
    routesCheck: TableCheck<RoutesTable> = routesTableCheck(),
    poolsCheck: TableCheck<PoolsTable> = poolsTableCheck(),
    instancesCheck: TableCheck<InstanceList> = instanceListCheck(),
): TablesInForce = TablesInForce(routesCheck, poolsCheck, instancesCheck)

/** Holds the documents in force; thread-safe. */
public class TablesInForce internal constructor(
    routesCheck: TableCheck<RoutesTable>,
    poolsCheck: TableCheck<PoolsTable>,
    instancesCheck: TableCheck<InstanceList>,
) {
    private val routes =
        TrackedDocument(DocumentName.ROUTES, routesCheck) { state, published -> state.copy(routes = published) }
    private val pools =
        TrackedDocument(DocumentName.POOLS, poolsCheck) { state, published -> state.copy(pools = published) }
    private val instances =
        TrackedDocument(DocumentName.INSTANCES, instancesCheck) { state, published ->
            state.copy(instances = published)
        }
    private val lock = Any()
    private val flow = MutableStateFlow(TablesState())
    private val listeners = CopyOnWriteArrayList<TablesListener>()
    private val deliveries = SerialQueue()

    /** The documents in force; a slow collector may miss states in between but never sees an older one afterwards. */
    public val state: StateFlow<TablesState> = flow.asStateFlow()

    /** Adds a listener that is called for every document accepted from now on. */
    public fun addListener(listener: TablesListener) {
        listeners += listener
    }

    /**
     * Checks [value] and puts it in force if its [version] is above the one in force.
     *
     * [confirmedAtMillis] is the time at which the platform is known to have held this version: the present time for an
     * answer of the platform, or the present time minus the reported age for a version from a peer. Listeners are
     * called before this function returns, unless another thread or a listener is already calling listeners; then that
     * thread makes the calls.
     */
    public fun offer(
        document: DocumentName,
        version: TableVersion,
        value: JsonElement,
        confirmedAtMillis: Long,
    ): OfferOutcome {
        val tracked = trackedOf(document)
        val outcome = synchronized(lock) { offerLocked(tracked, version, value, confirmedAtMillis) }
        deliveries.drain()
        return outcome
    }

    /** Resets the age of [version] if it is in force: the platform held no higher one at [confirmedAtMillis]. */
    public fun confirm(
        document: DocumentName,
        version: TableVersion,
        confirmedAtMillis: Long,
    ) {
        synchronized(lock) {
            val isInForce = version != TableVersion.NONE && version == flow.value.versionOf(document)
            if (isInForce) trackedOf(document).confirm(confirmedAtMillis)
        }
    }

    /** Returns the version in force, its age at [nowMillis] and the refused version of each document. */
    public fun statusAt(nowMillis: Long): List<TableStatus> =
        synchronized(lock) {
            listOf(routes, pools, instances).map { tracked ->
                TableStatus(
                    name = tracked.document.text,
                    version = flow.value.versionOf(tracked.document),
                    ageMillis = tracked.confirmedAtMillis?.let { (nowMillis - it).coerceAtLeast(0) },
                    refusedVersion = tracked.refusedVersion,
                )
            }
        }

    private fun trackedOf(document: DocumentName): TrackedDocument<*> =
        when (document) {
            DocumentName.ROUTES -> routes
            DocumentName.POOLS -> pools
            DocumentName.INSTANCES -> instances
        }

    private fun offerLocked(
        tracked: TrackedDocument<*>,
        version: TableVersion,
        value: JsonElement,
        confirmedAtMillis: Long,
    ): OfferOutcome {
        val inForce = flow.value.versionOf(tracked.document)
        return when {
            version < inForce -> OfferOutcome.Older(inForce)
            version == tracked.refusedVersion -> OfferOutcome.RefusedBefore
            version > inForce -> checkAndApply(tracked, version, value, confirmedAtMillis)
            version == TableVersion.NONE -> OfferOutcome.Older(inForce)
            else -> {
                tracked.confirm(confirmedAtMillis)
                OfferOutcome.Unchanged
            }
        }
    }

    private fun checkAndApply(
        tracked: TrackedDocument<*>,
        version: TableVersion,
        value: JsonElement,
        confirmedAtMillis: Long,
    ): OfferOutcome {
        val reading = tracked.read(flow.value, version, value)
        return reading.toResult().mapBoth(
            success = { changed ->
                tracked.accept(version, confirmedAtMillis)
                putInForce(tracked.document, changed)
                OfferOutcome.Accepted(reading.problems)
            },
            failure = { problems ->
                tracked.refuse(version)
                OfferOutcome.Refused(problems)
            },
        )
    }

    private fun putInForce(
        document: DocumentName,
        changed: TablesState,
    ) {
        val next = changed.copy(crossDocumentProblems = crossDocumentProblemsOf(changed))
        flow.value = next
        listeners.forEach { listener -> deliveries.add { listener.onChange(document, next) } }
    }
}

private fun crossDocumentProblemsOf(state: TablesState): List<Problem> {
    val routes = state.routes?.value
    val pools = state.pools?.value
    return if (routes == null || pools == null) emptyList() else crossCheck(routes, pools, state.instances?.value)
}

/** What the controller keeps for one document besides its value; guarded by the lock of the controller. */
private class TrackedDocument<T>(
    val document: DocumentName,
    private val tableCheck: TableCheck<T>,
    private val put: (TablesState, Published<T>) -> TablesState,
) {
    var confirmedAtMillis: Long? = null
        private set

    /** Highest refused version that is above the one in force. */
    var refusedVersion: TableVersion? = null
        private set

    /** Returns [state] with [value] as the new version of the document, and all problems of that version. */
    fun read(
        state: TablesState,
        version: TableVersion,
        value: JsonElement,
    ): TableReading<TablesState> {
        val reading = tableCheck.read(value)
        val changed = reading.value?.let { put(state, Published(document.text, version, it)) }
        return TableReading(changed, reading.problems)
    }

    fun accept(
        version: TableVersion,
        atMillis: Long,
    ) {
        refusedVersion = refusedVersion?.takeIf { it > version }
        confirmedAtMillis = atMillis
    }

    fun refuse(version: TableVersion) {
        refusedVersion = maxOf(version, refusedVersion ?: version)
    }

    fun confirm(atMillis: Long) {
        confirmedAtMillis = maxOf(atMillis, confirmedAtMillis ?: atMillis)
    }
}
