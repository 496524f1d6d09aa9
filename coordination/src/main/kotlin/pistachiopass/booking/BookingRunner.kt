/** Runs bookings whose keys this instance holds, each at most once. */
package pistachiopass.booking

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.runCatching
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.DelicateCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Verdict
import java.util.concurrent.atomic.AtomicReference

/** Runs bookings in [scope], so that an outcome is recorded even when no caller waits for it any more. */
public class BookingRunner internal constructor(
    private val ledger: BookingLedger,
    private val codec: BookingKeyCodec,
    private val sender: BookingSender,
    private val scope: CoroutineScope,
    private val events: BookingEvents,
) {
    private val successor: AtomicReference<Incarnation?> = AtomicReference()

    /** Sets the incarnation to which the sealed ledger moves, or null for none. */
    public fun setSuccessor(holder: Incarnation?): Unit = successor.set(holder)

    /**
     * Runs the booking of [key], or waits for its run, or returns its recorded outcome.
     *
     * The outcome is `may have run` if it is not known after [waitMillis].
     */
    public suspend fun run(key: BookingKey, request: BookingRequest, waitMillis: Long): RunReply =
        when (val claim = ledger.claim(key, request.digest())) {
            is Claim.Run -> {
                launch(key, request)
                await(claim.outcome, waitMillis)
            }
            is Claim.Wait -> await(claim.outcome, waitMillis)
            is Claim.Recorded -> {
                events.replayed(request)
                RunReply.Done(claim.outcome)
            }
            is Claim.Refused -> refusal(claim, request)
        }

    /** Starts the run even in a scope that is being cancelled, so that each claimed key gets an outcome. */
    @OptIn(DelicateCoroutinesApi::class)
    private fun launch(key: BookingKey, request: BookingRequest) {
        scope.launch(start = CoroutineStart.ATOMIC) {
            val outcome = runCatching { sender.send(codec.format(key), request) }.getOrElse(::outcomeOfException)
            ledger.finish(key, outcome)
            events.recorded(request, outcome)
        }
    }

    private suspend fun await(outcome: Deferred<BookingOutcome>, waitMillis: Long): RunReply =
        RunReply.Done(withTimeoutOrNull(waitMillis) { outcome.await() } ?: stillRunning())

    private fun refusal(refused: Claim.Refused, request: BookingRequest): RunReply {
        events.refused(request, refused)
        return when (refused) {
            Claim.Refused.NOT_HERE -> RunReply.NotHere
            Claim.Refused.SEALED -> successor.get()?.let { RunReply.Moved(it) } ?: RunReply.NotHere
            Claim.Refused.REUSED -> mayHaveRun(FailureCode.KEY_REUSED, REUSED_MESSAGE)
            Claim.Refused.FORGOTTEN -> mayHaveRun(FailureCode.CONFLICT, FORGOTTEN_MESSAGE)
        }
    }

    private fun mayHaveRun(code: FailureCode, message: String): RunReply =
        RunReply.Done(BookingOutcome.Failed(Failure(code, Verdict.MAY_HAVE_RUN, message)))

    private fun stillRunning(): BookingOutcome = BookingOutcome.Failed(
        Failure(FailureCode.TIMEOUT, Verdict.MAY_HAVE_RUN, "the service has not answered yet", RETRY_AFTER_MILLIS),
    )

    private fun outcomeOfException(cause: Throwable): BookingOutcome = BookingOutcome.Failed(
        Failure(
            FailureCode.ENDPOINT_FAILED,
            Verdict.MAY_HAVE_RUN,
            "the call to the service failed: ${cause::class.simpleName}",
        ),
    )
}

/** Callbacks for decisions on bookings. */
public interface BookingEvents {
    /** A run has ended, and its [outcome] was recorded. */
    public fun recorded(request: BookingRequest, outcome: BookingOutcome) {}

    /** A repeated request was answered with the recorded outcome. */
    public fun replayed(request: BookingRequest) {}

    /** A request was not run here, for [reason]. */
    public fun refused(request: BookingRequest, reason: Claim.Refused) {}

    /** The ledger was sealed with [keys] keys in it. */
    public fun sealed(keys: Int) {}

    /** The move of the sealed ledger ended with [state]; [successor] is null when none was found. */
    public fun moved(state: MoveOutcome, successor: Incarnation?) {}

    public companion object : BookingEvents
}

private const val REUSED_MESSAGE: String = "the idempotency key was used with another method, URI or body"
private const val FORGOTTEN_MESSAGE: String = "the idempotency key has expired, and its outcome is no longer kept"
private const val RETRY_AFTER_MILLIS: Long = 1_000
