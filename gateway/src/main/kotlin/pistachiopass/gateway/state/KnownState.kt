/**
 * The platform's published state, as known to this instance.
 *
 * That no item goes back to an earlier revision is up to [PublishedState]. Confined to the event loop.
 */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.UnreadPart

/** Holds the routing table, the endpoints and the evacuated data centres that the store publishes. */
public class KnownState internal constructor(internal val clock: AgeClock, private val log: EventLog) {
    private val evacuated = HashSet<DataCentreId>()
    private val unreadEndpoints = LinkedHashMap<EndpointId, String>()

    /** How recently this state was confirmed to be current. */
    public val freshness: StateFreshness = StateFreshness(clock, log)

    internal val endpoints: KnownEndpoints =
        KnownEndpoints(clock, evacuated::contains, freshness::ageMillisOrNull, log)

    private val knownTable = KnownTable(clock, freshness, log)

    /** The routing table in force, or null while none is known. */
    public val table: RoutingTable? get() = knownTable.table

    /** Whether a newer table is published of which nothing could be read, so that nothing in [table] is certain. */
    public val isTableOutdated: Boolean get() = knownTable.isOutdated

    /** Returns the time since [table] was last confirmed to be the newest one, in milliseconds, or null if never. */
    public fun tableAgeMillisOrNull(): Long? = knownTable.ageMillisOrNull()

    /** Returns what of the published state could not be read. */
    public fun unreadParts(): List<UnreadPart> =
        knownTable.unreadParts() + unreadEndpoints.map { (id, problem) -> UnreadPart(endpointPath(id), problem) }

    /** Applies changed [items]; removed entries of endpoints may have lapsed unless [isLapseOver]. */
    public fun apply(items: List<StateItem>, isLapseOver: Boolean = false) {
        if (items.isEmpty()) return
        items.forEach { apply(it, isLapseOver) }
        endpoints.refresh()
    }

    private fun apply(item: StateItem, isLapseOver: Boolean) {
        when (item) {
            is StateItem.Table -> knownTable.apply(item)
            is StateItem.Endpoint -> applyEndpoint(item, isLapseOver)
            is StateItem.Evacuation -> applyEvacuation(item)
        }
    }

    private fun applyEndpoint(item: StateItem.Endpoint, isLapseOver: Boolean) {
        val endpoint = item.endpoint
        val problem = item.problem
        if (problem == null) {
            unreadEndpoints -= item.id
        } else if (unreadEndpoints.put(item.id, problem) != problem) {
            log.logUnread(UnreadPart(endpointPath(item.id), problem))
        }
        val mayHaveLapsed = !isLapseOver && freshness.isStoreBackWithin(LAPSE_WINDOW_MILLIS)
        if (endpoint != null) {
            endpoints.put(item, endpoint)
        } else {
            endpoints.remove(item.id, problem ?: "removed", mayHaveLapsed)
        }
    }

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

/** Returns the path of the entry [id], whose characters may be any, with a question mark for unprintable ones. */
private fun endpointPath(id: EndpointId): String =
    "endpoint[" + id.value.take(ID_LENGTH_MAX).map { if (it in '!'..'~') it else '?' }.joinToString("") + "]"

private const val ID_LENGTH_MAX: Int = 64
