/** The published endpoints, and which of them may get new requests. */
package pistachiopass.gateway.state

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.ServiceName
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** An endpoint as last published; [coldUntilMillis], the end of its cold start, is a time of the age clock. */
public class KnownEndpoint internal constructor(
    public val published: PublishedEndpoint,
    public val coldUntilMillis: Long,
    internal val missingSinceMillis: Long? = null,
) {
    public val id: EndpointId get() = published.incarnation.endpoint

    override fun toString(): String = id.value
}

/** Holds the published endpoints; those of a data centre for which [isOut] is true get no new requests. */
internal class KnownEndpoints(
    private val clock: AgeClock,
    private val isOut: (DataCentreId) -> Boolean,
    private val ageMillisOrNull: () -> Long?,
    private val log: EventLog,
) {
    private val endpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
    private var usable: Map<ServiceName, List<KnownEndpoint>> = emptyMap()

    val ids: Set<EndpointId> get() = endpoints.keys

    /** Returns the endpoints of [service] that may get new requests. */
    fun of(service: ServiceName): List<KnownEndpoint> = usable[service].orEmpty()

    /** Returns the endpoint [id] as last published, or null. */
    fun findOrNull(id: EndpointId): KnownEndpoint? = endpoints[id]

    /** Returns all endpoints that may get new requests. */
    fun all(): List<KnownEndpoint> = usable.values.flatten()

    /** Is true if [endpoint] may still get new requests and has not restarted since it was published as given. */
    fun isUsable(endpoint: KnownEndpoint): Boolean {
        val known = endpoints[endpoint.id] ?: return false
        return known.published.incarnation == endpoint.published.incarnation && mayUse(known)
    }

    /** Adds or replaces a published endpoint. */
    fun put(item: StateItem.Endpoint, next: PublishedEndpoint) {
        val before = endpoints[item.id]?.published
        endpoints[item.id] = KnownEndpoint(next, clock.nowMillis() + next.coldRemainingMillis)
        if (before?.incarnation == next.incarnation && before.isDraining == next.isDraining) return
        log.log(
            if (next.isDraining) Event.ENDPOINT_LEAVING else Event.ENDPOINT_LISTED,
            field("endpoint", item.id),
            field("revision", item.revision.value),
            field("bornMillis", next.incarnation.bornMillis),
            field("coldMillis", next.coldRemainingMillis),
            field("proofAgeMillis", ageMillisOrNull() ?: -1),
        )
    }

    /**
     * Removes an endpoint. If its entry [mayHaveLapsed], that is, may have expired because of a store outage, the
     * endpoint stays in use for a short time, since the entry may be published again.
     */
    fun remove(id: EndpointId, reason: String, mayHaveLapsed: Boolean) {
        val known = endpoints[id] ?: return
        val isLapse = mayHaveLapsed && !known.published.isDraining
        log.log(
            Event.ENDPOINT_GONE,
            field("endpoint", id),
            tokenField("reason", reason),
            field("isLapse", isLapse),
            field("proofAgeMillis", ageMillisOrNull() ?: -1),
        )
        if (isLapse) {
            val since = known.missingSinceMillis ?: clock.nowMillis()
            endpoints[id] = KnownEndpoint(known.published, known.coldUntilMillis, since)
        } else {
            endpoints.remove(id)
        }
    }

    /** Removes the endpoints whose entries lapsed and were not published again in time. */
    fun expireMissing() {
        if (endpoints.values.removeIf { !isInGrace(it) }) refresh()
    }

    /** Recomputes which endpoints may get new requests. */
    fun refresh() {
        usable = endpoints.values.filter(::mayUse).groupBy { it.published.service }
    }

    private fun mayUse(known: KnownEndpoint): Boolean =
        !known.published.isDraining && !isOut(known.published.dataCentre) && isInGrace(known)

    private fun isInGrace(known: KnownEndpoint): Boolean =
        known.missingSinceMillis?.let { clock.nowMillis() - it < LAPSE_GRACE_MILLIS } ?: true
}

/** Time for which a lapsed endpoint stays in use; below the drain limit of the deployments, 2 s. */
private const val LAPSE_GRACE_MILLIS: Long = 1_500
