/**
 * The platform's published state, as known to this instance.
 *
 * Known state never goes back: an item whose revision is not higher than that of the known item is ignored, and so is a
 * configuration whose version is not higher. Confined to the event loop.
 */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** Holds the routing table, the endpoints and the evacuated data centres that the store publishes. */
public class KnownState internal constructor(clock: AgeClock, private val log: EventLog) {
    private val revisions = HashMap<String, Revision>()
    private val evacuated = HashSet<DataCentreId>()

    /** How recently this state was confirmed to be current. */
    public val freshness: StateFreshness = StateFreshness(clock, log)

    internal val endpoints: KnownEndpoints = KnownEndpoints(clock, evacuated::contains, log)

    /** The routing table in force, or null while none is known. */
    public var table: RoutingTable? = null
        private set

    /** Revision of the last change by an operator, that is of the configuration or the evacuations. */
    public var operatorRevision: Revision = Revision(0)
        private set

    /** Applies [changes] to the known state. */
    public fun applyChanges(changes: StateSnapshot) {
        changes.items.forEach(::apply)
        endpoints.refresh()
    }

    /** Applies a full [snapshot] and removes known items that are not in it, unless they are newer than it. */
    public fun applyAll(snapshot: StateSnapshot) {
        snapshot.items.forEach(::apply)
        val listed = snapshot.items.mapTo(HashSet(), ::keyOf)
        val isGone = { key: String -> key !in listed && (revisions[key] ?: Revision(0)) <= snapshot.revision }
        endpoints.ids.filter { isGone(endpointKey(it)) }.forEach { removeEndpoint(it, "unlisted") }
        evacuated.filter { isGone(evacuationKey(it)) }.forEach(::returnToService)
        endpoints.refresh()
    }

    private fun apply(item: StateItem) {
        val key = keyOf(item)
        val known = revisions[key]
        if (known != null && item.revision <= known) return
        revisions[key] = item.revision
        when (item) {
            is StateItem.Table -> applyTable(item)
            is StateItem.Endpoint ->
                item.endpoint?.let { endpoints.put(item, it) } ?: removeEndpoint(item.id, item.problem ?: "removed")
            is StateItem.Evacuation -> applyEvacuation(item)
        }
        if (item !is StateItem.Endpoint && item.revision > operatorRevision) operatorRevision = item.revision
    }

    private fun applyTable(item: StateItem.Table) {
        val next = item.table
        val held = table
        when {
            next == null -> log.log(
                Event.TABLE_REFUSED,
                field("revision", item.revision.value),
                tokenField("problem", item.problem ?: "unknown"),
            )
            held != null && next.version <= held.version ->
                log.log(Event.TABLE_VERSION_IGNORED, field("version", next.version), field("held", held.version))
            else -> {
                table = next
                log.log(
                    Event.TABLE_ACCEPTED,
                    field("version", next.version),
                    field("revision", item.revision.value),
                    field("routes", next.routes.size),
                )
            }
        }
    }

    private fun removeEndpoint(id: EndpointId, reason: String) =
        endpoints.remove(id, reason, mayHaveLapsed = freshness.isStoreBackWithin(LAPSE_WINDOW_MILLIS))

    private fun applyEvacuation(item: StateItem.Evacuation) {
        if (item.isOut) {
            evacuated += item.dataCentre
            log.log(Event.DATA_CENTRE_OUT, field("dataCentre", item.dataCentre), field("revision", item.revision.value))
        } else {
            returnToService(item.dataCentre)
        }
    }

    private fun returnToService(dataCentre: DataCentreId) {
        if (evacuated.remove(dataCentre)) log.log(Event.DATA_CENTRE_BACK, field("dataCentre", dataCentre))
    }
}

/** Returns an empty state. */
public fun knownStateOf(clock: AgeClock, log: EventLog = EventLog): KnownState = KnownState(clock, log)

private fun keyOf(item: StateItem): String =
    when (item) {
        is StateItem.Table -> "table"
        is StateItem.Endpoint -> endpointKey(item.id)
        is StateItem.Evacuation -> evacuationKey(item.dataCentre)
    }

private fun endpointKey(id: EndpointId): String = "endpoint/${id.value}"

private fun evacuationKey(dataCentre: DataCentreId): String = "evacuation/${dataCentre.value}"

/** Time after an outage of the store in which removed entries are taken to have expired because of the outage. */
private const val LAPSE_WINDOW_MILLIS: Long = 3_000
