/** Check whether an endpoint still accepts requests according to the pools table in force. */
package pistachiopass.routing

import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointState
import pistachiopass.model.PoolName
import pistachiopass.model.PoolsTable

/**
 * Returns whether [endpoint], as it was when it was chosen, still accepts new requests of [pool].
 *
 * An endpoint whose address or data centre has changed since then does not, since it may be another process.
 */
public fun PoolsTable.acceptsRequests(pool: PoolName, endpoint: Endpoint): Boolean {
    val current = pools.find { it.name == pool }?.endpoints?.find { it.id == endpoint.id }
    return current != null &&
        current.address == endpoint.address &&
        current.dataCentre == endpoint.dataCentre &&
        current.state == EndpointState.ACTIVE &&
        current.dataCentre !in dataCentresOut
}
