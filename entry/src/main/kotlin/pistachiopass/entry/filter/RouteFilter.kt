/** Finds the route and the pool of each request and enforces its deadline. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.Target
import pistachiopass.entry.http.requireMetadata
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Pool
import pistachiopass.model.Route
import pistachiopass.model.Verdict
import pistachiopass.routing.routeOrNull
import pistachiopass.tables.TablesState
import kotlin.time.Duration.Companion.milliseconds

/** Routes requests by the published tables, which [tables] returns. */
public class RouteFilter(
    private val tables: () -> TablesState,
    private val log: EventLog = EventLog,
) : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> =
        targetOf(context).andThen { target -> handleInTime(context.copy(target = target), target, next) }

    private suspend fun handleInTime(
        context: RequestContext,
        target: Target,
        next: Handler,
    ): Result<Completion, Failure> {
        val remaining = -target.deadline.elapsedNow()
        return withTimeoutOrNull(remaining) { next.handle(context) }
            ?: Err(timedOut(target.route))
    }

    private fun targetOf(context: RequestContext): Result<Target, Failure> {
        val state = tables()
        return routeOf(context, state).andThen { route ->
            poolOf(route, state).map { pool -> targetOf(context, route, pool) }
        }
    }

    private fun targetOf(context: RequestContext, route: Route, pool: Pool): Target {
        val exchange = context.exchange
        log.log(Event.ROUTE_CHOSEN, exchange.requestId, field("route", route.name), field("pool", pool.name))
        return Target(route, pool, exchange.arrivedAt + route.timeoutMillis.milliseconds)
    }

    private fun routeOf(context: RequestContext, state: TablesState): Result<Route, Failure> =
        state.routes?.value?.routeOrNull(context.requireMetadata()).toResultOr {
            val exchange = context.exchange
            log.log(Event.NO_ROUTE, exchange.requestId, field("workspace", exchange.workspace))
            notRun(FailureCode.NO_ROUTE, "no route matches ${exchange.head.method.value} ${exchange.head.path}")
        }

    private fun poolOf(route: Route, state: TablesState): Result<Pool, Failure> =
        state.pools?.value?.pools?.firstOrNull { it.name == route.pool }.toResultOr {
            notRun(FailureCode.NO_ENDPOINT, "pool ${route.pool} of route ${route.name} is not in the published pools")
        }

    private fun timedOut(route: Route): Failure = Failure(
        FailureCode.TIMEOUT,
        Verdict.MAY_HAVE_RUN,
        "no complete response within ${route.timeoutMillis} ms, the timeout of route ${route.name}",
    )
}
