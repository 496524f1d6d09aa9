/** The filter chain that every request of a caller passes. */
package pistachiopass.entry.http

import com.github.michaelbull.result.Result
import pistachiopass.entry.body.RequestBody
import pistachiopass.model.Failure
import pistachiopass.model.Pool
import pistachiopass.model.Route
import pistachiopass.routing.RequestFacts
import kotlin.time.ComparableTimeMark

/** Holds what the filters have found out about a request so far. */
public data class RequestContext(
    val exchange: Exchange,
    val body: RequestBody? = null,
    val facts: RequestFacts? = null,
    val target: Target? = null,
    /** Present for requests with an idempotency key. */
    val verdictAuthority: VerdictAuthority? = null,
)

/** Tells whether the verdict on a request with a key comes from where the key is known. */
public class VerdictAuthority {
    /** Whether a verdict `not run` is true for all requests with the key. */
    @Volatile
    public var isAuthoritative: Boolean = false
        private set

    /** Marks every later verdict on the request as known. */
    public fun markAuthoritative() {
        isAuthoritative = true
    }
}

/** Joins the route of a request with its pool and gives the request's deadline. */
public data class Target(val route: Route, val pool: Pool, val deadline: ComparableTimeMark)

/** Tells how a request that was answered ended. */
public data class Completion(val status: Int, val bodyBytes: Long)

/** Answers a request, or says why it could not. */
public fun interface Handler {
    /** Handles the request; on failure nothing more is written to the response. */
    public suspend fun handle(context: RequestContext): Result<Completion, Failure>
}

/** Takes part in the handling of each request. */
public fun interface Filter {
    /** Handles the request itself or passes it, perhaps changed, to [next]. */
    public suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure>
}

/** Returns a handler that passes a request through these filters, the first one first, and then to [last]. */
public fun List<Filter>.endingIn(last: Handler): Handler =
    foldRight(last) { filter, next -> Handler { context -> filter.filter(context, next) } }

/** Returns the body that an earlier filter has read. */
public fun RequestContext.requireBody(): RequestBody =
    checkNotNull(body) { "request ${exchange.requestId} has no body yet" }

/** Returns the facts that an earlier filter has found. */
public fun RequestContext.requireFacts(): RequestFacts =
    checkNotNull(facts) { "request ${exchange.requestId} has no facts yet" }

/** Returns the target that an earlier filter has found. */
public fun RequestContext.requireTarget(): Target =
    checkNotNull(target) { "request ${exchange.requestId} has no target yet" }
