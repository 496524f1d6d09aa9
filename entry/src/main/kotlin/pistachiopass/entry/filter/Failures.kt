/** Construction of the failures that filters return. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import pistachiopass.entry.http.Completion
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Returns a failure with the verdict `not run`, for a request of which no byte has left the instance. */
internal fun notRun(code: FailureCode, message: String, retryAfterMillis: Long? = null): Failure =
    Failure(code, Verdict.NOT_RUN, message, retryAfterMillis)

internal fun Failure.asOutcome(): Result<Completion, Failure> = Err(this)
