/**
 * The platform's published state, as known to this instance.
 *
 * A configuration whose version is not higher than that of the one in force is ignored; that no item goes back to an
 * earlier revision is up to [PublishedState]. Confined to the event loop.
 */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** Holds the routing table, the endpoints and the evacuated data centres that the store publishes. */
public class KnownState internal constructor(clock: AgeClock, private val log: EventLog) {
    private val evacuated = HashSet<DataCentreId>()

    /** How recently this state was confirmed to be current. */
    public val freshness: StateFreshness = StateFreshness(clock, log)

    internal val endpoints: KnownEndpoints = KnownEndpoints(clock, evacuated::contains, log)

    /** The routing table in force, or null while none is known. */
    public var table: RoutingTable? = null
        private set

    /** Applies changed [items]. */
    public fun apply(items: List<StateItem>) {
        if (items.isEmpty()) return
        items.forEach(::apply)
        endpoints.refresh()
    }

    private fun apply(item: StateItem) {
        when (item) {
            is StateItem.Table -> applyTable(item)
            is StateItem.Endpoint ->
                item.endpoint?.let { endpoints.put(item, it) } ?: removeEndpoint(item.id, item.problem ?: "removed")
            is StateItem.Evacuation -> applyEvacuation(item)
        }
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

/** Time after an outage of the store in which removed entries are taken to have expired because of the outage. */
private const val LAPSE_WINDOW_MILLIS: Long = 3_000
