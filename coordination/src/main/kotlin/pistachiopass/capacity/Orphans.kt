/** Orphaned requests: those that an endpoint holds although no one waits for their response any more. */
package pistachiopass.capacity

import pistachiopass.model.RequestId

/** Returns the orphaned requests under this table's leases and, at the published owner, also those of other owners. */
internal fun EndpointAccount.orphans(nowMillis: Long, times: CapacityTimes): List<RequestId> {
    val own = leases.values.filter { it.isOrphan(nowMillis, times) }.map { it.id }
    return if (config.isOwned) own + foreign.orphans(nowMillis) else own
}
