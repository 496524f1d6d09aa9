/**
 * Sends bookings to endpoints of their pool, and to another endpoint only when the previous one cannot have received
 * the booking.
 */
package pistachiopass.entry.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.toResultOr
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import pistachiopass.booking.BookingHeader
import pistachiopass.booking.BookingOutcome
import pistachiopass.booking.BookingRequest
import pistachiopass.booking.BookingSender
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.endpoint.readWholeBody
import pistachiopass.entry.filter.notRun
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.entry.http.Target
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.fingerprintField
import pistachiopass.entry.logging.log
import pistachiopass.entry.placement.Allocation
import pistachiopass.entry.placement.CapacityAllocator
import pistachiopass.entry.settings.LedgerSettings
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.PoolKind
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.model.Verdict
import pistachiopass.routing.RequestMetadata
import pistachiopass.routing.routeOrNull
import pistachiopass.tables.TablesState
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends through [client] to endpoints from [allocator]; routes by the documents that [tables] returns. */
public class EndpointBookingSender(
    private val allocator: CapacityAllocator,
    private val client: EndpointClient,
    private val tables: () -> TablesState,
    private val settings: LedgerSettings,
    private val log: EventLog = EventLog,
) : BookingSender {
    override suspend fun send(key: String, request: BookingRequest): BookingOutcome {
        val metadata = RequestMetadata(request.path, request.workspace)
        return targetOf(metadata).andThen { sendTo(it, metadata, key, request) }
            .fold({ it }, { BookingOutcome.Failed(it) })
    }

    private fun targetOf(metadata: RequestMetadata): Result<Target, Failure> {
        val state = tables()
        val route = state.routes?.value?.routeOrNull(metadata)
        val pool = state.pools?.value?.pools?.find { it.name == route?.pool }
        if (route == null || pool == null) return Err(notRun(FailureCode.NO_ENDPOINT, "no pool for ${metadata.path}"))
        val deadline = TimeSource.Monotonic.markNow() + route.timeoutMillis.milliseconds
        return Ok(Target(route, pool, deadline))
    }

    /** Tries endpoints until one may have received the booking or none is left. */
    private suspend fun sendTo(
        target: Target,
        metadata: RequestMetadata,
        key: String,
        request: BookingRequest,
    ): Result<BookingOutcome, Failure> {
        var remaining = metadata
        var result: Result<BookingOutcome, Failure> =
            Err(notRun(FailureCode.NO_ENDPOINT, "pool ${target.pool.name} has no endpoint"))
        for (attempt in 1..MAX_ENDPOINTS) {
            val allocation = allocator.allocate(request.requestId, remaining, target)
                .mapBoth({ it }, { return result.orRefusalIfFirst(attempt, it) })
            result = sendAndRelease(allocation, target, key, request)
            if (result.mapBoth({ true }, { it.verdict != Verdict.NOT_RUN })) break
            log.log(Event.RETRY, request.requestId, field("endpoint", allocation.endpoint.id))
            remaining = remaining.copy(failedEndpoints = remaining.failedEndpoints + allocation.endpoint.id)
        }
        return result
    }

    private suspend fun sendAndRelease(
        allocation: Allocation,
        target: Target,
        key: String,
        request: BookingRequest,
    ): Result<BookingOutcome, Failure> {
        var isEnded = false
        try {
            val result = exchange(allocation, target.pool.kind, key, request)
            isEnded = result.mapBoth({ true }, { it.verdict == Verdict.NOT_RUN })
            return result
        } finally {
            withContext(NonCancellable) {
                val holdsNothing = isEnded || target.pool.kind == PoolKind.PLAIN ||
                    client.cancel(allocation.endpoint, allocation.leaseId)
                allocation.release(holdsNothing)
            }
        }
    }

    private suspend fun exchange(
        allocation: Allocation,
        kind: PoolKind,
        key: String,
        request: BookingRequest,
    ): Result<BookingOutcome, Failure> = allocation.takeIf { it.isValid() }
        .toResultOr { notRun(FailureCode.OVERLOADED, "the lease expired before the booking was sent") }
        .andThen {
            log.log(
                Event.BOOKING_FORWARDED,
                request.requestId,
                field("endpoint", allocation.endpoint.id),
                fingerprintField("key", key),
            )
            client.exchange(
                allocation.endpoint,
                kind,
                request.uri,
                { copyFrom(request, key, allocation) },
                { read(it) },
            )
        }

    private fun HttpRequestBuilder.copyFrom(request: BookingRequest, key: String, allocation: Allocation) {
        method = HttpMethod(request.method)
        timeout { socketTimeoutMillis = settings.answerMillis }
        request.headers.forEach {
            if (it.name == HttpHeaders.ContentType) {
                contentType(ContentType.parse(it.value))
            } else {
                header(it.name, it.value)
            }
        }
        header(IDEMPOTENCY_KEY_HEADER, key)
        header(REQUEST_ID_HEADER, allocation.leaseId.value)
        setBody(request.body)
    }

    /** Reads one byte more than the ledger records, so that it can detect an answer that is too long. */
    private suspend fun read(response: HttpResponse): Result<BookingOutcome, Failure> {
        val body = response.readWholeBody(settings.recordBytes + 1L)
        val headers = response.headers.names()
            .filter { it.lowercase() !in DROPPED_RESPONSE_HEADERS }
            .flatMap { name -> response.headers.getAll(name).orEmpty().map { BookingHeader(name, it) } }
        return Ok(BookingOutcome.Response(response.status.value, headers, body))
    }
}

private fun Result<BookingOutcome, Failure>.orRefusalIfFirst(
    attempt: Int,
    refusal: Failure,
): Result<BookingOutcome, Failure> = if (attempt == 1) Err(refusal) else this

/** Hop-by-hop headers, and headers that the server library sets itself. */
private val DROPPED_RESPONSE_HEADERS: Set<String> = setOf(
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
)
private const val MAX_ENDPOINTS: Int = 3
