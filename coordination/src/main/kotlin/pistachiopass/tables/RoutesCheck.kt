/** The check of the routes table by itself. */
package pistachiopass.tables

import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RoutesTable

/** Returns all problems of [table] that can be found without the other documents. */
public fun checkRoutesTable(table: RoutesTable): List<Problem> {
    val routes = table.routes
    val names = routes.duplicateProblems({ it.name }) { index, route -> routePlace(index, route).field("name") }
    val each = routes.flatMapIndexed { index, route -> routeProblems(index, route) }
    return names + each + routes.indices.flatMap { overlapProblems(routes, it) }
}

internal fun routePlace(
    index: Int,
    route: Route,
): Place = Place(DocumentName.ROUTES).field("routes").element(index, route.name.value)

private fun routeProblems(
    index: Int,
    route: Route,
): List<Problem> {
    val place = routePlace(index, route)
    val match = place.field("match")
    return place.field("name").checkName(route.name.value) +
        place.field("pool").checkName(route.pool.value) +
        match.field("pathPrefix").checkPath(route.match.pathPrefix) +
        (route.match.model?.let { match.field("model").checkName(it.value) }.orEmpty()) +
        (route.match.workspace?.let { match.field("workspace").checkName(it.value) }.orEmpty()) +
        place.field("timeoutMillis").checkPositive(route.timeoutMillis) +
        place.field("firstTokenTimeoutMillis").checkPositive(route.firstTokenTimeoutMillis) +
        place.field("firstTokenTimeoutMillis")
            .checkAtMost(route.firstTokenTimeoutMillis, "timeoutMillis", route.timeoutMillis)
}

/**
 * Returns an error if an earlier route matches every request of the route at [index], so that this one is never used.
 *
 * Otherwise returns a warning for each earlier route that matches some of these requests, is not the more specific of
 * the two and leads to another pool or differs in idempotence.
 */
private fun overlapProblems(
    routes: List<Route>,
    index: Int,
): List<Problem> {
    val route = routes[index]
    val place = routePlace(index, route).field("match")
    val earlier = routes.subList(0, index)
    val shadowing = earlier.firstOrNull { it.match.covers(route.match) }
    if (shadowing != null) {
        return listOf(place.error(route.match.text(), "a request that earlier route ${shadowing.name} does not match"))
    }
    return earlier
        .filter { it.match.overlaps(route.match) && !route.match.covers(it.match) && !it.hasSameTarget(route) }
        .map {
            place.warning(
                route.match.text(),
                "no requests in common with earlier route ${it.name}, which matches them first"
            )
        }
}

private fun Route.hasSameTarget(other: Route): Boolean = pool == other.pool && idempotent == other.idempotent

/** Returns whether this matches every request that [other] matches. */
internal fun RouteMatch.covers(other: RouteMatch): Boolean =
    other.pathPrefix.startsWith(pathPrefix) &&
        (model == null || model == other.model) &&
        (workspace == null || workspace == other.workspace)

private fun RouteMatch.overlaps(other: RouteMatch): Boolean =
    (pathPrefix.startsWith(other.pathPrefix) || other.pathPrefix.startsWith(pathPrefix)) &&
        (model == null || other.model == null || model == other.model) &&
        (workspace == null || other.workspace == null || workspace == other.workspace)

private fun RouteMatch.text(): String =
    listOfNotNull("path $pathPrefix", model?.let { "model $it" }, workspace?.let { "workspace $it" }).joinToString()
