/** The configuration of endpoint capacity of one instance, derived from the published documents. */
package pistachiopass.entry.placement

import pistachiopass.capacity.AccountConfig
import pistachiopass.capacity.ownerOrNull
import pistachiopass.capacity.sharesOf
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.PoolKind
import pistachiopass.tables.TablesState

/** The endpoints, the instances and the accounts of [self] according to one state of the documents. */
internal class CapacityConfig(state: TablesState, private val self: InstanceId) {
    val endpoints: List<Endpoint> = state.pools?.value?.pools.orEmpty().flatMap { it.endpoints }.distinctBy { it.id }
    val instances: List<Instance> = state.instances?.value?.instances.orEmpty()
    val owners: Map<EndpointId, InstanceId> =
        endpoints.mapNotNull { endpoint -> instances.ownerOrNull(endpoint)?.let { endpoint.id to it } }.toMap()

    /** The endpoints of plain pools, which cannot cancel a request. */
    val plainEndpoints: Set<EndpointId> = state.pools?.value?.pools.orEmpty()
        .filter { it.kind == PoolKind.PLAIN }
        .flatMapTo(HashSet()) { pool -> pool.endpoints.map { it.id } }

    /** The accounts that this instance keeps: those of the endpoints of which it holds a share. */
    val accounts: List<AccountConfig> = endpoints.mapNotNull { accountConfigOrNull(it, state) }

    /** The published owner of each endpoint of which this instance holds a share. */
    val pledgeTargets: Map<EndpointId, InstanceId> =
        accounts.associate { it.endpoint.id to owners.getValue(it.endpoint.id) }

    private fun accountConfigOrNull(endpoint: Endpoint, state: TablesState): AccountConfig? {
        val shares = instances.sharesOf(endpoint)
        val isDataCentreOut = endpoint.dataCentre in state.pools?.value?.dataCentresOut.orEmpty()
        return AccountConfig(
            endpoint = endpoint,
            shares = shares,
            isOpen = endpoint.state == EndpointState.ACTIVE && !isDataCentreOut,
            isOwned = owners[endpoint.id] == self,
        ).takeIf { self in shares }
    }
}
