/**
 * Decides which requests are still admitted during a graceful shutdown.
 *
 * Some callers open connections to a stopping instance until its process has exited, for example because the load
 * balancer has no other instance left in their data centre. A request that might outlast the instance would be cut off
 * while it runs. It is refused instead, while it is certain that it has not run, so that another instance can serve it.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.Route
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Holds the begin and the deadline of the shutdown. Confined to the event loop. */
public class GracefulShutdown internal constructor(private val nowMillis: () -> Long) {
    private var begunMillis: Long? = null
    private var endMillis: Long = Long.MAX_VALUE

    /** Begins a shutdown that cuts off the remaining requests after [graceMillis]. */
    public fun begin(graceMillis: Long) {
        begunMillis = nowMillis()
        endMillis = nowMillis() + graceMillis
    }

    /** Returns why a request on [route] is refused, or null if it is admitted. */
    public fun refusalOrNull(route: Route): Failure? {
        val begun = begunMillis ?: return null
        val isExpected = nowMillis() - begun <= BALANCER_DRAIN_MILLIS
        val endsInTime = nowMillis() + route.timeoutMillis <= endMillis
        return if (isExpected || endsInTime) null else REFUSAL
    }
}

/** Time until the load balancer stops sending connections: it probes once a second and acts on two failures. */
internal const val BALANCER_DRAIN_MILLIS: Long = 2_500

/** Retry-After of a refusal; short, since another instance serves the retry. */
private const val SHUTDOWN_RETRY_AFTER_MILLIS: Long = 100

private val REFUSAL =
    Failure(
        FailureCode.OVERLOADED,
        Verdict.NOT_RUN,
        "the instance is stopping",
        retryAfterMillis = SHUTDOWN_RETRY_AFTER_MILLIS,
    )
