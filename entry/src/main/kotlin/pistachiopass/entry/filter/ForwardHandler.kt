/** Forwards each request to an endpoint and relays the response to the caller. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import pistachiopass.capacity.LeaseEnd
import pistachiopass.entry.endpoint.EndpointBreaker
import pistachiopass.entry.endpoint.EndpointClient
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.requireBody
import pistachiopass.entry.http.requireMetadata
import pistachiopass.entry.http.requireTarget
import pistachiopass.entry.placement.Allocation
import pistachiopass.entry.placement.CapacityAllocator
import pistachiopass.entry.stream.RelayedRequest
import pistachiopass.entry.stream.ResponseRelay
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.PRIORITY_HEADER
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolsTable
import pistachiopass.model.REMAINING_MILLIS_HEADER
import pistachiopass.model.REQUEST_ID_HEADER
import pistachiopass.model.Verdict
import pistachiopass.routing.acceptsRequests
import pistachiopass.routing.promptClassOf
import kotlin.time.Duration.Companion.milliseconds

/**
 * Allocates endpoint capacity with [allocator], sends through [client] and records the results in [breaker].
 *
 * The published pools, which [pools] returns, are checked again immediately before the send: the endpoint may have been
 * withdrawn while the request waited or the process was paused. The request then fails as not run, and can be placed
 * on another endpoint.
 */
public class ForwardHandler(
    private val allocator: CapacityAllocator,
    private val client: EndpointClient,
    private val relay: ResponseRelay,
    private val breaker: EndpointBreaker = EndpointBreaker(),
    private val pools: () -> PoolsTable?,
) : Handler {
    override suspend fun handle(context: RequestContext): Result<Completion, Failure> =
        allocator.allocate(context.exchange.requestId, context.requireMetadata(), context.requireTarget())
            .andThen { allocation ->
                val pool = context.requireTarget().pool.name
                val acceptsRequests = pools()?.acceptsRequests(pool, allocation.endpoint) ?: false
                if (acceptsRequests) forwardAndRelease(context, allocation) else refuseWithdrawn(allocation)
            }

    private suspend fun refuseWithdrawn(allocation: Allocation): Result<Completion, Failure> {
        withContext(NonCancellable) { allocation.release(LeaseEnd.FREED) }
        val endpoint = allocation.endpoint.id
        val failure = notRun(FailureCode.NO_ENDPOINT, "endpoint $endpoint was taken out of service", RETRY_AFTER_MILLIS)
        return Err(failure.copy(endpoint = endpoint))
    }

    private suspend fun forwardAndRelease(
        context: RequestContext,
        allocation: Allocation,
    ): Result<Completion, Failure> {
        var outcome: Result<Completion, Failure>? = null
        try {
            return forward(context, allocation)
                .onSuccess { breaker.recordSuccess(allocation.endpoint.id) }
                .onFailure { failure -> failure.endpoint?.let(breaker::recordFailure) }
                .also { outcome = it }
        } finally {
            withContext(NonCancellable) { allocation.release(leaseEndOf(context, allocation, outcome)) }
        }
    }

    /**
     * Frees what the endpoint may still hold for the request, including a finished stream that it would keep, and
     * returns how the lease ended.
     */
    private suspend fun leaseEndOf(
        context: RequestContext,
        allocation: Allocation,
        outcome: Result<Completion, Failure>?,
    ): LeaseEnd {
        val failure = outcome?.getError()
        val isPlainAnswer = outcome?.isOk == true && context.requireTarget().pool.kind == PoolKind.PLAIN
        val isFreed = failure?.verdict == Verdict.NOT_RUN || isPlainAnswer || cancel(context, allocation)
        return when {
            failure?.code == FailureCode.ENDPOINT_FAILED -> LeaseEnd.FAILED
            !isFreed -> LeaseEnd.UNCONFIRMED
            outcome?.isOk == true -> LeaseEnd.COMPLETED
            else -> LeaseEnd.FREED
        }
    }

    /** Plain services cannot cancel a request; the lease owner waits until their load report no longer lists it. */
    private suspend fun cancel(context: RequestContext, allocation: Allocation): Boolean =
        context.requireTarget().pool.kind == PoolKind.MODEL && client.cancel(allocation.endpoint, allocation.leaseId)

    private suspend fun forward(context: RequestContext, allocation: Allocation): Result<Completion, Failure> {
        if (!allocation.isValid()) {
            return Err(
                notRun(FailureCode.OVERLOADED, "the lease expired before the request was sent", RETRY_AFTER_MILLIS),
            )
        }
        val request = context.relayedRequest(allocation)
        return client.exchange(
            endpoint = allocation.endpoint,
            kind = context.requireTarget().pool.kind,
            uri = context.exchange.head.uri,
            build = { copyFrom(context, allocation) },
            receive = { response -> relay.relay(request, response) },
        )
    }

    private fun RequestContext.relayedRequest(allocation: Allocation): RelayedRequest {
        val target = requireTarget()
        val deadline = target.deadline - ERROR_EVENT_RESERVE_MILLIS.milliseconds
        return RelayedRequest(exchange, allocation.endpoint, allocation.leaseId, target.route.name, deadline)
    }

    private fun HttpRequestBuilder.copyFrom(context: RequestContext, allocation: Allocation) {
        val head = context.exchange.head
        method = head.method
        head.headers[HttpHeaders.ContentType]?.let { contentType(ContentType.parse(it)) }
        FORWARDED_HEADERS.forEach { name -> head.headers[name]?.let { header(name, it) } }
        header(REQUEST_ID_HEADER, allocation.leaseId.value)
        val remainingMillis = -context.requireTarget().deadline.elapsedNow().inWholeMilliseconds
        header(REMAINING_MILLIS_HEADER, remainingMillis)
        if (context.requireTarget().pool.kind == PoolKind.MODEL) header(PRIORITY_HEADER, context.priority())
        if (!context.requireMetadata().streamed) {
            timeout { socketTimeoutMillis = remainingMillis.coerceAtLeast(1) }
        }
        setBody(context.requireBody().bytes)
    }
}

private fun RequestContext.priority(): Int = promptClassOf(requireMetadata().promptTokens).priority

private val FORWARDED_HEADERS: List<String> = listOf(HttpHeaders.Accept, IDEMPOTENCY_KEY_HEADER)

/** Time before the deadline that is reserved for sending an error event to the caller. */
private const val ERROR_EVENT_RESERVE_MILLIS: Long = 200
private const val RETRY_AFTER_MILLIS: Long = 1_000
