/** The part of the instance's status that tells of endpoints. */
package pistachiopass.entry.placement

import pistachiopass.capacity.AccountStatus
import pistachiopass.status.EndpointStatus

/** Returns what operators see of an account. */
internal fun AccountStatus.toEndpointStatus(duties: CapacityDuties): EndpointStatus = EndpointStatus(
    id = config.endpoint.id,
    dataCentre = config.endpoint.dataCentre,
    state = config.endpoint.state,
    cold = isCold,
    budgetTokens = config.endpoint.budgetTokens,
    usedTokens = report?.usedTokens ?: 0,
    leasedTokens = leased.tokens,
    runningRequests = report?.requests.orEmpty().size,
    owner = duties.owners[config.endpoint.id],
)
