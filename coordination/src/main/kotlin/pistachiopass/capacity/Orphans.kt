/** Requests on an endpoint for whose answer nobody waits any more. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** Returns the requests to cancel: those of own leases and, for the published owner, those of other owners. */
internal fun EndpointAccount.orphans(nowMillis: Long, times: CapacityTimes): List<RequestId> {
    val own = leases.values.filter { it.isOrphan(nowMillis, times) }.map { it.id }
    return if (config.isOwned) own + foreign.orphans(nowMillis) else own
}
