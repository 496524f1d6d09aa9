/** Refuses new requests once the instance is stopping. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Result
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.RequestContext
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode

/** Refuses new requests after [close]. */
public class StopFilter : Filter {
    @Volatile
    private var closed: Boolean = false

    /** Refuses all requests from now on. */
    public fun close() {
        closed = true
    }

    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> =
        if (closed) refusal() else next.handle(context)

    private fun refusal(): Result<Completion, Failure> =
        notRun(
            FailureCode.STOPPING,
            "the instance is stopping; retry at another instance",
            RETRY_AFTER_MILLIS
        ).asOutcome()
}

private const val RETRY_AFTER_MILLIS: Long = 1_000
