/** What an instance knows of the endpoints when it places a request. */
package pistachiopass.routing

import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId

/** Holds the load of one endpoint as this instance knows it. */
public data class EndpointLoad(
    val cold: Boolean = false,
    /** Whether the endpoint answers; a silent one gets no new work. */
    val reachable: Boolean = true,
    /** Tokens that requests hold or have been promised. */
    val heldTokens: Long = 0,
    /** Requests that run or have been promised a slot. */
    val heldSlots: Int = 0,
)

/** Gives the load of each endpoint and the data centres that take no new work. */
public data class FleetView(
    val dataCentre: DataCentreId,
    val dataCentresOut: Set<DataCentreId> = emptySet(),
    val loads: Map<EndpointId, EndpointLoad> = emptyMap(),
    /** Endpoints to which long prompts are confined; empty where there is no confinement. */
    val longPromptEndpoints: Set<EndpointId> = emptySet(),
) {
    /** Returns the known load, or that of an endpoint of which nothing is known yet: cold and empty. */
    public fun loadOf(endpoint: EndpointId): EndpointLoad = loads[endpoint] ?: UNKNOWN_LOAD
}

private val UNKNOWN_LOAD: EndpointLoad = EndpointLoad(cold = true)
