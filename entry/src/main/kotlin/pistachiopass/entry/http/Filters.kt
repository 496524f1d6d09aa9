/** Filter chain through which every request of a caller passes. */
package pistachiopass.entry.http

import com.github.michaelbull.result.Result
import pistachiopass.entry.body.RequestBody
import pistachiopass.model.Failure
import pistachiopass.model.Pool
import pistachiopass.model.Route
import pistachiopass.routing.RequestMetadata
import kotlin.time.ComparableTimeMark

/** Request with the data that the filters have added to it so far. */
public data class RequestContext(
    val exchange: Exchange,
    val body: RequestBody? = null,
    val metadata: RequestMetadata? = null,
    val target: Target? = null,
    /** Present for requests with an idempotency key. */
    val verdictAuthority: VerdictAuthority? = null,
)

/** Records whether verdicts on a request with an idempotency key come from the layer that knows the key. */
public class VerdictAuthority {
    /** Whether the verdict `not run` holds for all requests with the key. */
    @Volatile
    public var isAuthoritative: Boolean = false
        private set

    /** Marks all further verdicts on the request as valid for its key. */
    public fun markAuthoritative() {
        isAuthoritative = true
    }
}

/** Route, pool and deadline of a request. */
public data class Target(val route: Route, val pool: Pool, val deadline: ComparableTimeMark)

/** Status and body size of a response that was sent in full. */
public data class Completion(val status: Int, val bodyBytes: Long)

/** Responds to a request or returns why it failed. */
public fun interface Handler {
    /** Returns the completed response, or the failure after which nothing more is written to the response. */
    public suspend fun handle(context: RequestContext): Result<Completion, Failure>
}

/** One step in the handling of each request. */
public fun interface Filter {
    /** Handles the request itself or passes it, possibly changed, to [next]. */
    public suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure>
}

/** Returns a handler that passes a request through these filters, the first one first, and then to [last]. */
public fun List<Filter>.endingIn(last: Handler): Handler =
    foldRight(last) { filter, next -> Handler { context -> filter.filter(context, next) } }

/** Returns the body that an earlier filter has read. */
public fun RequestContext.requireBody(): RequestBody =
    checkNotNull(body) { "the body of request ${exchange.requestId} has not been read" }

/** Returns the metadata that an earlier filter has found. */
public fun RequestContext.requireMetadata(): RequestMetadata =
    checkNotNull(metadata) { "request ${exchange.requestId} has no metadata yet" }

/** Returns the target that the route filter has set. */
public fun RequestContext.requireTarget(): Target =
    checkNotNull(target) { "request ${exchange.requestId} has not been routed" }
