/** The check of the routes table, the pools table and the instance list against each other. */
package pistachiopass.tables

import pistachiopass.model.InstanceList
import pistachiopass.model.InstanceState
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.PoolsTable
import pistachiopass.model.Route
import pistachiopass.model.RoutesTable

/** Returns the problems between the documents, none of which can be found in one document alone. */
public fun crossCheck(
    routes: RoutesTable,
    pools: PoolsTable,
    instances: InstanceList? = null,
): List<Problem> {
    val poolsByName = pools.pools.associateBy { it.name }
    return routes.routes.flatMapIndexed { index, route -> poolProblems(routePlace(index, route), route, poolsByName) } +
        (instances?.let { instanceProblems(pools, it) }.orEmpty())
}

private fun poolProblems(
    place: Place,
    route: Route,
    pools: Map<PoolName, Pool>,
): List<Problem> {
    val pool = pools[route.pool]
    val names = pools.keys.joinToString()
    return when {
        pool == null -> listOf(place.field("pool").error(route.pool, "a pool of the pools table: $names"))
        pool.kind != PoolKind.MODEL -> emptyList()
        else ->
            listOfNotNull(
                place.field("idempotent").warning(false, "true for the model pool ${pool.name}")
                    .takeIf { !route.idempotent },
                modelProblemOrNull(place, route, pool),
            )
    }
}

/** An endpoint that lists no models may serve any model. */
private fun modelProblemOrNull(
    place: Place,
    route: Route,
    pool: Pool,
): Problem? {
    val model = route.match.model
    val served = model == null || pool.endpoints.isEmpty() || pool.endpoints.any {
        it.models.isEmpty() || model in it.models
    }
    return if (served) null else place.field("match").field("model").warning(model, "a model of pool ${pool.name}")
}

private fun instanceProblems(
    pools: PoolsTable,
    instances: InstanceList,
): List<Problem> {
    val endpoints = pools.pools.flatMap { it.endpoints }
    val endpointsByAddress = endpoints.associateBy { it.address }
    val shared =
        addressesOf(instances).mapNotNull { (place, address) ->
            endpointsByAddress[address]?.let { place.error(address, "an address other than that of endpoint ${it.id}") }
        }
    val served = instances.instances.filter { it.state == InstanceState.LIVE }.map { it.dataCentre }.toSet()
    val listPlace = Place(DocumentName.INSTANCES).field("instances")
    val withoutInstance =
        (endpoints.map { it.dataCentre }.toSet() - served)
            .map { listPlace.warning("no live instance in $it", "a live instance in each data centre with endpoints") }
    return shared + withoutInstance
}
