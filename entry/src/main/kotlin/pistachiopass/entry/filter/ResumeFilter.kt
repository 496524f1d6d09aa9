/** Takes streams up again for callers that name the last event they received. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Exchange
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.stream.ResponseRelay
import pistachiopass.entry.stream.RelayedRequest
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Route
import pistachiopass.stream.EventIds
import pistachiopass.stream.StreamPosition
import pistachiopass.tables.TablesState
import kotlin.time.Duration.Companion.milliseconds

/** Resumes by the event ids of any instance that holds the same key. */
public class ResumeFilter(
    private val tables: () -> TablesState,
    private val eventIds: EventIds,
    private val relay: ResponseRelay,
    private val client: EndpointClient,
) : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> {
        val exchange = context.exchange
        val eventId = exchange.head.headers[LAST_EVENT_ID_HEADER] ?: return next.handle(context)
        return eventIds.positionOrNull(eventId, exchange.workspace)
            .toResultOr { notRun(FailureCode.NOT_AUTHORIZED, "$LAST_EVENT_ID_HEADER: is not an id of this workspace") }
            .andThen { position -> relayedRequestOf(exchange, position).andThen { resume(it, position) } }
    }

    private suspend fun resume(request: RelayedRequest, position: StreamPosition): Result<Completion, Failure> =
        try {
            relay.resume(request, position)
        } finally {
            withContext(NonCancellable) { client.cancel(request.endpoint, request.leaseId) }
        }

    private fun relayedRequestOf(exchange: Exchange, position: StreamPosition): Result<RelayedRequest, Failure> {
        val ticket = position.ticket
        return endpointOf(position).andThen { endpoint ->
            routeOf(position).map { route ->
                val remaining = (route.timeoutMillis - position.elapsedMillis).coerceAtLeast(0).milliseconds
                RelayedRequest(exchange, endpoint, ticket.leaseId, route.name, exchange.arrivedAt + remaining)
            }
        }
    }

    private fun endpointOf(position: StreamPosition): Result<Endpoint, Failure> =
        tables().pools?.value?.pools.orEmpty()
            .flatMap { it.endpoints }
            .firstOrNull { it.id == position.ticket.endpoint }
            .toResultOr { notRun(FailureCode.NO_ENDPOINT, "endpoint ${position.ticket.endpoint} is not published") }

    private fun routeOf(position: StreamPosition): Result<Route, Failure> =
        tables().routes?.value?.routes.orEmpty()
            .firstOrNull { it.name == position.ticket.route }
            .toResultOr { notRun(FailureCode.NO_ROUTE, "route ${position.ticket.route} is not published") }
}

/** Names the header by which a caller tells the last event it received. */
public const val LAST_EVENT_ID_HEADER: String = "Last-Event-ID"
