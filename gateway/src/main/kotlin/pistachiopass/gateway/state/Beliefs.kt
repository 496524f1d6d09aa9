/**
 * What the instance believes of the platform's published state, and how old the proof of it is.
 *
 * A belief never goes back: an item of a lower revision than the one held is ignored, and so is a configuration of a
 * lower version. All calls come from the event loop.
 */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.ServiceName
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** An endpoint as it was last published, with the time until which it counts as cold, on the age clock. */
public class KnownEndpoint internal constructor(
    public val published: PublishedEndpoint,
    public val coldUntilMillis: Long,
    internal val missingSinceMillis: Long? = null,
) {
    public val id: EndpointId get() = published.incarnation.endpoint

    override fun toString(): String = id.value
}

/** Holds the beliefs of one instance. */
public class Beliefs internal constructor(private val clock: AgeClock, private val log: EventLog) {
    private val revisions = HashMap<String, Revision>()
    private val endpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
    private val evacuated = HashSet<DataCentreId>()
    private var usable: Map<ServiceName, List<KnownEndpoint>> = emptyMap()
    private var provedAtMillis: Long? = null
    private var peerProvedAtMillis: Long? = null
    private var regainedAtMillis: Long = Long.MIN_VALUE / 2

    /** The configuration in force, or null while none is known. */
    public var table: RoutingTable? = null
        private set

    /** Revision of the last change of configuration or evacuations. */
    public var operatorRevision: Revision = Revision(0)
        private set

    /** Returns the time since the operator's documents were last proved current, or null if they never were. */
    public fun proofAgeMillisOrNull(): Long? =
        listOfNotNull(provedAtMillis, peerProvedAtMillis).maxOrNull()?.let { clock.nowMillis() - it }

    /** Returns the time since the store itself last proved the published state, or null if it never did. */
    public fun storeProofAgeMillisOrNull(): Long? = provedAtMillis?.let { clock.nowMillis() - it }

    /** Records that another instance proved the operator's documents current as of [atMillis] on the age clock. */
    public fun provedByPeer(atMillis: Long) {
        peerProvedAtMillis = maxOf(peerProvedAtMillis ?: atMillis, atMillis)
    }

    /** Is true if the operator's documents were proved current within [limitMillis]. */
    public fun isProvedWithin(limitMillis: Long): Boolean = proofAgeMillisOrNull()?.let { it <= limitMillis } ?: false

    /** Records that the store gave the state as of [atMillis] on the age clock. */
    public fun proved(atMillis: Long) {
        val before = provedAtMillis
        if (before == null || atMillis > before) {
            if (before != null && atMillis - before > OUTAGE_MILLIS) {
                regainedAtMillis = clock.nowMillis()
                log.log(Event.STATE_PROVED_AGAIN, field("gapMillis", atMillis - before))
            }
            provedAtMillis = atMillis
        }
    }

    /** Takes in [changes], which followed what is known. */
    public fun applyChanges(changes: StateSnapshot) {
        changes.items.forEach(::apply)
        rebuild()
    }

    /** Takes in all published items; whatever is known, older and not among them is gone. */
    public fun applyAll(snapshot: StateSnapshot) {
        snapshot.items.forEach(::apply)
        val listed = snapshot.items.mapTo(HashSet(), ::keyOf)
        val isOlder = { key: String -> (revisions[key] ?: Revision(0)) <= snapshot.revision }
        endpoints.keys.filter { endpointKey(it) !in listed && isOlder(endpointKey(it)) }.forEach { remove(it, "unlisted") }
        evacuated.filter { evacuationKey(it) !in listed && isOlder(evacuationKey(it)) }.forEach(::takeBack)
        rebuild()
    }

    /** Returns the endpoints of [service] that may get new work now. */
    public fun endpointsOf(service: ServiceName): List<KnownEndpoint> = usable[service].orEmpty()

    /** Returns all endpoints that may get new work now. */
    public fun allEndpoints(): List<KnownEndpoint> = usable.values.flatten()

    /** Is true if [endpoint] in this incarnation may still get new work. */
    public fun isUsable(endpoint: KnownEndpoint): Boolean {
        val known = endpoints[endpoint.id] ?: return false
        return known.published.incarnation == endpoint.published.incarnation && mayUse(known)
    }

    /** Drops the endpoints whose entries lapsed and did not come back in time. */
    public fun expireMissing() {
        val expired = endpoints.values.filter { it.missingSinceMillis != null && !isInGrace(it) }
        if (expired.isEmpty()) return
        expired.forEach { endpoints.remove(it.id) }
        rebuild()
    }

    private fun apply(item: StateItem) {
        val key = keyOf(item)
        val known = revisions[key]
        if (known != null && item.revision <= known) return
        revisions[key] = item.revision
        when (item) {
            is StateItem.Table -> applyTable(item)
            is StateItem.Endpoint -> applyEndpoint(item)
            is StateItem.Evacuation -> applyEvacuation(item)
        }
        if (item !is StateItem.Endpoint && item.revision > operatorRevision) operatorRevision = item.revision
    }

    private fun applyTable(item: StateItem.Table) {
        val next = item.table
        val current = table
        when {
            next == null -> log.log(
                Event.TABLE_REFUSED,
                field("revision", item.revision.value),
                tokenField("problem", item.problem ?: "unknown"),
            )
            current != null && next.version <= current.version ->
                log.log(Event.TABLE_VERSION_IGNORED, field("version", next.version), field("held", current.version))
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

    private fun applyEndpoint(item: StateItem.Endpoint) {
        val next = item.endpoint
        if (next == null) {
            remove(item.id, item.problem ?: "removed")
            return
        }
        val before = endpoints[item.id]
        val coldUntil = clock.nowMillis() + next.coldRemainingMillis
        endpoints[item.id] = KnownEndpoint(next, coldUntil)
        if (before?.published?.incarnation != next.incarnation || before.published.isDraining != next.isDraining) {
            log.log(
                if (next.isDraining) Event.ENDPOINT_LEAVING else Event.ENDPOINT_LISTED,
                field("endpoint", item.id),
                field("revision", item.revision.value),
                field("bornMillis", next.incarnation.bornMillis),
                field("coldMillis", next.coldRemainingMillis),
            )
        }
    }

    private fun remove(id: EndpointId, reason: String) {
        val known = endpoints[id] ?: return
        val isLapse = clock.nowMillis() - regainedAtMillis < LAPSE_WINDOW_MILLIS && !known.published.isDraining
        log.log(
            Event.ENDPOINT_GONE,
            field("endpoint", id),
            tokenField("reason", reason),
            field("isLapse", isLapse),
        )
        if (isLapse) {
            val since = known.missingSinceMillis ?: clock.nowMillis()
            endpoints[id] = KnownEndpoint(known.published, known.coldUntilMillis, since)
        } else {
            endpoints.remove(id)
        }
    }

    private fun applyEvacuation(item: StateItem.Evacuation) {
        if (item.isOut) {
            evacuated += item.dataCentre
            log.log(Event.DATA_CENTRE_OUT, field("dataCentre", item.dataCentre), field("revision", item.revision.value))
        } else {
            takeBack(item.dataCentre)
        }
    }

    private fun takeBack(dataCentre: DataCentreId) {
        if (evacuated.remove(dataCentre)) log.log(Event.DATA_CENTRE_BACK, field("dataCentre", dataCentre))
    }

    private fun mayUse(known: KnownEndpoint): Boolean =
        !known.published.isDraining && known.published.dataCentre !in evacuated && isInGrace(known)

    private fun isInGrace(known: KnownEndpoint): Boolean =
        known.missingSinceMillis?.let { clock.nowMillis() - it < LAPSE_GRACE_MILLIS } ?: true

    private fun rebuild() {
        usable = endpoints.values.filter(::mayUse).groupBy { it.published.service }
    }
}

/** Returns beliefs that know nothing yet. */
public fun beliefsOf(clock: AgeClock, log: EventLog = EventLog): Beliefs = Beliefs(clock, log)

private fun keyOf(item: StateItem): String =
    when (item) {
        is StateItem.Table -> "table"
        is StateItem.Endpoint -> endpointKey(item.id)
        is StateItem.Evacuation -> evacuationKey(item.dataCentre)
    }

private fun endpointKey(id: EndpointId): String = "endpoint/${id.value}"

private fun evacuationKey(dataCentre: DataCentreId): String = "evacuation/${dataCentre.value}"

/** Gap between two proofs from which on the store counts as having been away: two watches that found nothing. */
private const val OUTAGE_MILLIS: Long = 2_500

/** Time after the store's return in which removed entries count as lapsed while it was away. */
private const val LAPSE_WINDOW_MILLIS: Long = 3_000

/** Time for which a lapsed endpoint is still used; below the drain bound of the deployments, 2 s. */
private const val LAPSE_GRACE_MILLIS: Long = 1_500
