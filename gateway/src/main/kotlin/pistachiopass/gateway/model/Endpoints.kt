/** Published endpoints. An endpoint that starts again under its id is another incarnation. */
package pistachiopass.gateway.model

import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** Names one life of an endpoint: its id and the Unix time of its start; [bornMillis] is 0 if it states none. */
public data class Incarnation(val endpoint: EndpointId, val bornMillis: Long)

/** Position of a change in the store's history; it only rises. */
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Host and port, both numeric. */
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Returns the address in [text], or null if it is not `host:port`. */
public fun addressOrNull(text: String): Address? {
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    return if (port in 1..PORT_MAX) Address(text.substringBeforeLast(':'), port) else null
}

/** One published endpoint. */
public data class PublishedEndpoint(
    val incarnation: Incarnation,
    val service: ServiceName,
    val address: Address,
    val dataCentre: DataCentreId,
    val slots: Int,
    /** The endpoint is about to leave and is to get no new work. */
    val isDraining: Boolean,
    /** How much longer the endpoint was cold when it wrote this. */
    val coldRemainingMillis: Long,
)

private const val PORT_MAX: Int = 65_535
