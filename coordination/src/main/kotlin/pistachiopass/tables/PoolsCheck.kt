/** The check of the pools table by itself. */
package pistachiopass.tables

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolsTable

/** Returns all problems of [table] that can be found without the other documents. */
public fun checkPoolsTable(table: PoolsTable): List<Problem> {
    val pools = table.pools
    val names = pools.duplicateProblems({ it.name }) { index, pool -> poolPlace(index, pool).field("name") }
    val each = pools.flatMapIndexed { index, pool -> poolProblems(poolPlace(index, pool), pool) }
    return names + each + endpointDuplicates(table) + dataCentresOutProblems(table)
}

internal fun poolPlace(
    index: Int,
    pool: Pool,
): Place = Place(DocumentName.POOLS).field("pools").element(index, pool.name.value)

private fun poolProblems(
    place: Place,
    pool: Pool,
): List<Problem> {
    val endpoints = place.field("endpoints")
    val noEndpoints = endpoints.warning("none", "at least one endpoint").takeIf { pool.endpoints.isEmpty() }
    return place.field("name").checkName(pool.name.value) +
        listOfNotNull(noEndpoints) +
        pool.endpoints.flatMapIndexed { index, endpoint ->
            endpointProblems(endpoints.element(index, endpoint.id.value), pool.kind, endpoint)
        }
}

private fun endpointProblems(
    place: Place,
    kind: PoolKind,
    endpoint: Endpoint,
): List<Problem> =
    place.field("id").checkName(endpoint.id.value) +
        place.field("dataCentre").checkName(endpoint.dataCentre.value) +
        place.field("address").checkAddress(endpoint.address) +
        place.field("budgetTokens").checkTokens(kind, endpoint.budgetTokens) +
        place.field("slots").checkPositive(endpoint.slots.toLong()) +
        place.field("coldBudgetTokens").checkTokens(kind, endpoint.coldBudgetTokens) +
        place.field("coldBudgetTokens").checkAtMost(endpoint.coldBudgetTokens, "budgetTokens", endpoint.budgetTokens) +
        place.field("coldSlots").checkPositive(endpoint.coldSlots.toLong()) +
        place.field("coldSlots").checkAtMost(endpoint.coldSlots.toLong(), "slots", endpoint.slots.toLong()) +
        endpoint.models.flatMapIndexed { index, model ->
            place.field("models").element(index, null).checkName(model.value)
        }

/** Endpoints of plain services have no token budget, so it may be zero. */
private fun Place.checkTokens(
    kind: PoolKind,
    value: Long,
): List<Problem> = if (kind == PoolKind.MODEL) checkPositive(value) else checkNotNegative(value)

/** Ids and addresses must be unique over all pools, since each stands for one endpoint with one budget. */
private fun endpointDuplicates(table: PoolsTable): List<Problem> {
    val endpoints =
        table.pools.flatMapIndexed { poolIndex, pool ->
            pool.endpoints.mapIndexed { index, endpoint ->
                val list = poolPlace(poolIndex, pool).field("endpoints")
                Placed(list.element(index, endpoint.id.value), endpoint)
            }
        }
    val ids = endpoints.duplicateProblems({ it.value.id }) { _, placed -> placed.place.field("id") }
    val conflicts = endpoints.groupBy { it.value.id }.values.flatMap(::conflictProblems)
    val addresses =
        endpoints.distinctBy { it.value.id }
            .duplicateProblems({ it.value.address }) { _, placed -> placed.place.field("address") }
    return ids + conflicts + addresses
}

private fun conflictProblems(sameId: List<Placed<Endpoint>>): List<Problem> {
    val first = sameId.first().value
    return sameId.drop(1).flatMap { (place, endpoint) ->
        listOfNotNull(
            place.field("dataCentre").error(endpoint.dataCentre, "${first.dataCentre}, as before for the same id")
                .takeIf { endpoint.dataCentre != first.dataCentre },
            place.field("address").error(endpoint.address, "${first.address}, as before for the same id")
                .takeIf { endpoint.address != first.address },
        )
    }
}

/** With a misspelt name, the data centre that was meant would stay in service without any error. */
private fun dataCentresOutProblems(table: PoolsTable): List<Problem> {
    val known = table.pools.flatMap { it.endpoints }.mapTo(sortedSetOf<DataCentreId>()) { it.dataCentre }
    val out = Place(DocumentName.POOLS).field("dataCentresOut")
    val expected = "a data centre with endpoints: ${known.joinToString()}"
    val unknown =
        table.dataCentresOut.withIndex()
            .filter { it.value !in known }
            .map { out.element(it.index, null).error(it.value, expected) }
    val allOut = known.isNotEmpty() && table.dataCentresOut.containsAll(known)
    val allOutWarning = out.warning(table.dataCentresOut.joinToString(), "at least one data centre in service")
    return unknown + listOfNotNull(allOutWarning.takeIf { allOut })
}
