/** Conversion of the accounts of endpoints to the status that operators see. */
package pistachiopass.entry.placement

import pistachiopass.capacity.AccountStatus
import pistachiopass.status.EndpointStatus

/** Returns the status of the endpoint of this account; its owner is read from [capacityConfig]. */
internal fun AccountStatus.toEndpointStatus(capacityConfig: CapacityConfig): EndpointStatus = EndpointStatus(
    id = config.endpoint.id,
    dataCentre = config.endpoint.dataCentre,
    state = config.endpoint.state,
    cold = isCold,
    budgetTokens = config.endpoint.budgetTokens,
    usedTokens = report?.usedTokens ?: 0,
    leasedTokens = leased.tokens,
    runningRequests = report?.requests.orEmpty().size,
    owner = capacityConfig.owners[config.endpoint.id],
)
