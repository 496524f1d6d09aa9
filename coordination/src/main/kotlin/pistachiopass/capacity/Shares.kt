/**
 * Ownership of endpoints and the division of their budgets into shares, both determined by the published tables alone.
 *
 * The live instances in an endpoint's data centre hold equal shares of its budget; if there are none, all live
 * instances do. One of them, the owner, grants leases out of its own share and those that the others pledge to it.
 */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceState
import pistachiopass.routing.firstFor

/** Returns the instances that hold shares of [endpoint]. */
public fun List<Instance>.shareHoldersOf(endpoint: Endpoint): List<Instance> {
    val live = filter { it.state == InstanceState.LIVE }
    return live.filter { it.dataCentre == endpoint.dataCentre }.ifEmpty { live }
}

/** Returns the owner, which grants leases on [endpoint], or null if no instance is live. */
public fun List<Instance>.ownerOrNull(endpoint: Endpoint): InstanceId? =
    shareHoldersOf(endpoint).firstFor("owner:${endpoint.id}") { it.id.value }?.id

/** Returns the share of each holder; the shares add up to the budget of the endpoint, warm and cold. */
public fun List<Instance>.sharesOf(endpoint: Endpoint): Map<InstanceId, Share> {
    val holders = shareHoldersOf(endpoint)
    val remainderHolder = holders.firstFor("remainder:${endpoint.id}") { it.id.value }?.id
    return holders.associate { it.id to endpoint.budget.part(holders.size, withRemainder = it.id == remainderHolder) }
}

private fun Share.part(count: Int, withRemainder: Boolean): Share = Share(
    warm.part(count, withRemainder),
    cold.part(count, withRemainder)
)

private fun Capacity.part(count: Int, withRemainder: Boolean): Capacity = Capacity(
    tokens / count + if (withRemainder) tokens % count else 0,
    slots / count + if (withRemainder) slots % count else 0,
)
