/**
 * Controller of the documents in force: it holds the last good state of each and decides on each new one.
 *
 * The controller reads no clock and no network. States may come from the platform or from another instance that has
 * accepted them; the order of versions alone decides. See docs/design/tables.md.
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

/** Holds the last good state of each document; null while none has been accepted. */
public data class TablesState(
    val routes: Published<RoutesTable>? = null,
    val pools: Published<PoolsTable>? = null,
    val instances: Published<InstanceList>? = null,
    /** Problems between the documents in force; none of them takes a document out of force. */
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

/** Says what became of an offered state of a document. */
public sealed interface OfferOutcome {
    /** The state is in force; [warnings] did not keep it out. */
    public data class Accepted(val warnings: List<Problem>) : OfferOutcome

    /** The version is in force already; its age has been renewed. */
    public data object Unchanged : OfferOutcome

    /** The version is below the one in force, [inForce], and was ignored. */
    public data class Older(val inForce: TableVersion) : OfferOutcome

    /** The state has errors and was refused whole; the last good state stays in force. */
    public data class Refused(val problems: List<Problem>) : OfferOutcome

    /** The version was refused before and was not checked again. */
    public data object RefusedBefore : OfferOutcome
}

/** Is told of each accepted state. */
public fun interface TablesListener {
    /** Is called once for each change, in the order of the changes, with the [state] right after it. */
    public fun onChange(
        document: DocumentName,
        state: TablesState,
    )
}

/** Returns a controller without any document, which applies the checks that the daemon applies. */
public fun tablesInForceOf(
    routesCheck: TableCheck<RoutesTable> = routesTableCheck(),
    poolsCheck: TableCheck<PoolsTable> = poolsTableCheck(),
    instancesCheck: TableCheck<InstanceList> = instanceListCheck(),
): TablesInForce = TablesInForce(routesCheck, poolsCheck, instancesCheck)

/** Holds the documents in force; all functions may be called from any thread. */
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

    /** The documents in force; a slow collector may miss states in between, but never sees an older one. */
    public val state: StateFlow<TablesState> = flow.asStateFlow()

    /** Adds a listener that is told of every later change. */
    public fun addListener(listener: TablesListener) {
        listeners += listener
    }

    /**
     * Checks [value] and puts it in force if its [version] is above the one in force.
     *
     * [confirmedAtMillis] is the time at which the platform is known to have held this version: now for an answer of
     * the platform itself, now less the peer's age for a state that a peer passes on. Listeners are called before the
     * return unless another thread or a listener is calling them, which then does it next.
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

    /** Renews the age if [version] is in force; the platform held nothing above it at [confirmedAtMillis]. */
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

    /** Returns version, age and refused version of each document at [nowMillis]. */
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

/** Holds what the controller knows of one document besides its state; guarded by the controller's lock. */
private class TrackedDocument<T>(
    val document: DocumentName,
    private val tableCheck: TableCheck<T>,
    private val put: (TablesState, Published<T>) -> TablesState,
) {
    var confirmedAtMillis: Long? = null
        private set

    /** Highest version refused since the one in force was accepted. */
    var refusedVersion: TableVersion? = null
        private set

    /** Returns [state] with the new version, and all problems of that version. */
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
