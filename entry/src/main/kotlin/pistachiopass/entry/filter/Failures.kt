/** Shortcuts for the failures that filters return. */
package pistachiopass.entry.filter

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import pistachiopass.entry.http.Completion
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict

/** Returns a failure of a request of which no byte has left the instance. */
internal fun notRun(code: FailureCode, message: String, retryAfterMillis: Long? = null): Failure =
    Failure(code, Verdict.NOT_RUN, message, retryAfterMillis)

/** Returns this failure as the outcome of a handler. */
internal fun Failure.asOutcome(): Result<Completion, Failure> = Err(this)
