/** The part of the instance's status that tells of endpoints. */
package pistachiopass.entry.placement

import pistachiopass.capacity.AccountStatus
import pistachiopass.status.EndpointStatus

/** Returns what operators see of an account. */
internal fun AccountStatus.toEndpointStatus(capacityConfig: CapacityConfig): EndpointStatus = EndpointStatus(
    id = duty.endpoint.id,
    dataCentre = duty.endpoint.dataCentre,
    state = duty.endpoint.state,
    cold = isCold,
    budgetTokens = duty.endpoint.budgetTokens,
    usedTokens = report?.usedTokens ?: 0,
    leasedTokens = leased.tokens,
    runningRequests = report?.requests.orEmpty().size,
    owner = capacityConfig.owners[duty.endpoint.id],
)
