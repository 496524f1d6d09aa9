/**
 * Correction of the verdict of requests that carry an idempotency key.
 *
 * A filter that refuses a request before its key was looked up cannot know whether an earlier request with the same key
 * ran.
 */
package pistachiopass.entry.booking

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import pistachiopass.entry.http.Completion
import pistachiopass.entry.http.Filter
import pistachiopass.entry.http.Handler
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.entry.http.RequestContext
import pistachiopass.entry.http.VerdictAuthority
import pistachiopass.model.Failure
import pistachiopass.model.Verdict

/** Changes the verdict `not run` of a request with a key to `may have run`, unless the key was looked up. */
public class VerdictFilter : Filter {
    override suspend fun filter(context: RequestContext, next: Handler): Result<Completion, Failure> {
        if (IDEMPOTENCY_KEY_HEADER !in context.exchange.head.headers) return next.handle(context)
        val verdictAuthority = VerdictAuthority()
        return next.handle(context.copy(verdictAuthority = verdictAuthority))
            .mapError { failure -> withCorrectedVerdict(failure, verdictAuthority) }
    }

    private fun withCorrectedVerdict(failure: Failure, verdictAuthority: VerdictAuthority): Failure =
        if (verdictAuthority.isAuthoritative || failure.verdict != Verdict.NOT_RUN) {
            failure
        } else {
            failure.copy(
                verdict = Verdict.MAY_HAVE_RUN,
                message = "${failure.message}; the idempotency key was not looked up",
            )
        }
}
