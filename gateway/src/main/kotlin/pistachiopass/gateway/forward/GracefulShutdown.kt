/**
 * Decides which requests are still let in while the instance stops.
 *
 * Load that this answers: callers that open connections to a stopping instance until its process is gone, for instance
 * since the balancer has no other instance left in their data centre. A request that may outlast the instance would be
 * cut off midway; it is refused while that is still true to say that it has not run, and another instance serves it.
 */
package pistachiopass.gateway.forward

import pistachiopass.gateway.model.Route
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Knows whether and until when the instance stops. All calls come from the event loop. */
public class GracefulShutdown internal constructor(private val nowMillis: () -> Long) {
    private var begunMillis: Long? = null
    private var endMillis: Long = Long.MAX_VALUE

    /** Begins a stop that cuts off what is left after [graceMillis]. */
    public fun begin(graceMillis: Long) {
        begunMillis = nowMillis()
        endMillis = nowMillis() + graceMillis
    }

    /** Returns why a request on [route] is not let in any more, or null. */
    public fun refusalOrNull(route: Route): Failure? {
        val begun = begunMillis ?: return null
        val isExpected = nowMillis() - begun <= BALANCER_DRAIN_MILLIS
        val endsInTime = nowMillis() + route.timeoutMillis <= endMillis
        return if (isExpected || endsInTime) null else REFUSAL
    }
}

/** Time until the balancer sends no more callers: it probes once a second and acts on two misses. */
internal const val BALANCER_DRAIN_MILLIS: Long = 2_500

/** Time after which a refused caller may come back; another instance serves it, so it need not wait. */
private const val SHUTDOWN_RETRY_AFTER_MILLIS: Long = 100

private val REFUSAL =
    Failure(
        FailureCode.OVERLOADED,
        Verdict.NOT_RUN,
        "the instance is stopping",
        retryAfterMillis = SHUTDOWN_RETRY_AFTER_MILLIS,
    )
