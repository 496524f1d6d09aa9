/** The state of the endpoints, as an instance knows it when it chooses one for a request. */
package pistachiopass.routing

import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** Load of one endpoint, as this instance knows it. */
public data class EndpointLoad(
    val cold: Boolean = false,
    /** Whether the endpoint responds; one that does not is given no new requests. */
    val reachable: Boolean = true,
    /** Tokens that requests hold or have reserved. */
    val heldTokens: Long = 0,
    /** Requests that are running or have reserved a slot. */
    val heldSlots: Int = 0,
)

/** The loads of the endpoints, and the data centres that accept no new requests. */
public data class FleetView(
    val dataCentre: DataCentreId,
    val dataCentresOut: Set<DataCentreId> = emptySet(),
    val loads: Map<EndpointId, EndpointLoad> = emptyMap(),
    /** Endpoints to which long prompts are confined; empty if they are not confined. */
    val longPromptEndpoints: Set<EndpointId> = emptySet(),
) {
    /** Returns the known load; an endpoint whose load is not known yet counts as cold and idle. */
    public fun loadOf(endpoint: EndpointId): EndpointLoad = loads[endpoint] ?: UNKNOWN_LOAD
}

private val UNKNOWN_LOAD: EndpointLoad = EndpointLoad(cold = true)
