/** Published endpoints. An endpoint that restarts under the same id is another incarnation. */
package pistachiopass.gateway.model

import io.netty.util.NetUtil
import pistachiopass.model.DataCentreId

/** One run of an endpoint's process; declared where code without network uses it as well. */
public typealias EndpointIncarnation = pistachiopass.model.EndpointIncarnation

/** A numeric IP address and a port. */
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Returns the address in [text], or null if it is not a numeric IP address, a colon and a port from 1 to 65535. */
public fun addressOrNull(text: String): Address? {
    val host = text.substringBeforeLast(':')
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    val isNumeric = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)
    return if (isNumeric && port in 1..PORT_MAX) Address(host, port) else null
}

/** An endpoint as it was last published. */
public data class PublishedEndpoint(
    val incarnation: EndpointIncarnation,
    val service: ServiceName,
    val address: Address,
    val dataCentre: DataCentreId,
    val slots: Int,
    /** Whether the endpoint is about to leave and gets no new requests. */
    val isDraining: Boolean,
    /** Remaining duration of the cold start at the time of publication. */
    val coldRemainingMillis: Long,
    /** Number of the report among those of its incarnation, or null if it states none. */
    val sequence: Long? = null,
)

private const val PORT_MAX: Int = 65_535
