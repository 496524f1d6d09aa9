/** Resumes streams for callers that state the id of the last event they received. */
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
import pistachiopass.entry.stream.RelayedRequest
import pistachiopass.entry.stream.ResponseRelay
import pistachiopass.model.Endpoint
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Route
import pistachiopass.stream.EventIds
import pistachiopass.stream.StreamPosition
import pistachiopass.tables.TablesState
import kotlin.time.Duration.Companion.milliseconds

/** Resumes streams by the event ids of all instances that have the same shared key. */
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
            .toResultOr {
                notRun(FailureCode.NOT_AUTHORIZED, "$LAST_EVENT_ID_HEADER: is not an event id of this workspace")
            }
            .andThen { position -> relayedRequestOf(exchange, position).andThen { resume(it, position) } }
    }

    private suspend fun resume(request: RelayedRequest, position: StreamPosition): Result<Completion, Failure> =
        try {
            relay.resume(request, position)
        } finally {
            withContext(NonCancellable) { client.cancel(request.endpoint, request.leaseId) }
        }

    private fun relayedRequestOf(exchange: Exchange, position: StreamPosition): Result<RelayedRequest, Failure> {
        val location = position.location
        return endpointOf(position).andThen { endpoint ->
            routeOf(position).map { route ->
                val remaining = (route.timeoutMillis - position.elapsedMillis).coerceAtLeast(0).milliseconds
                RelayedRequest(exchange, endpoint, location.leaseId, route.name, exchange.arrivedAt + remaining)
            }
        }
    }

    private fun endpointOf(position: StreamPosition): Result<Endpoint, Failure> =
        tables().pools?.value?.pools.orEmpty()
            .flatMap { it.endpoints }
            .firstOrNull { it.id == position.location.endpoint }
            .toResultOr {
                notRun(FailureCode.NO_ENDPOINT, "endpoint ${position.location.endpoint} is in no published pool")
            }

    private fun routeOf(position: StreamPosition): Result<Route, Failure> =
        tables().routes?.value?.routes.orEmpty()
            .firstOrNull { it.name == position.location.route }
            .toResultOr { notRun(FailureCode.NO_ROUTE, "no published route is named ${position.location.route}") }
}

/** Request header with the id of the last event that the caller received. */
public const val LAST_EVENT_ID_HEADER: String = "Last-Event-ID"
