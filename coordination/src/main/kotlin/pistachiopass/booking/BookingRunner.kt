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

/** Runs bookings in [scope], so that the outcome is recorded also when nobody waits for it any more. */
public class BookingRunner internal constructor(
    private val ledger: BookingLedger,
    private val codec: BookingKeyCodec,
    private val sender: BookingSender,
    private val scope: CoroutineScope,
    private val events: BookingEvents,
) {
    private val successor: AtomicReference<Incarnation?> = AtomicReference()

    /** Names the instance to which the sealed ledger moves, or null while there is none. */
    public fun setSuccessor(holder: Incarnation?): Unit = successor.set(holder)

    /** Runs [key], waits for its run, or returns what was recorded; says after [waitMillis] that it may have run. */
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

    /** Begins the run also in a scope that is being cancelled, so that each claimed key gets an outcome. */
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
        Failure(FailureCode.TIMEOUT, Verdict.MAY_HAVE_RUN, "the service has not answered yet", RETRY_MILLIS),
    )

    private fun outcomeOfException(cause: Throwable): BookingOutcome = BookingOutcome.Failed(
        Failure(
            FailureCode.ENDPOINT_FAILED,
            Verdict.MAY_HAVE_RUN,
            "the call of the service failed: ${cause::class.simpleName}",
        ),
    )
}

/** Is told of decisions on bookings. */
public interface BookingEvents {
    /** The outcome of a run is known. */
    public fun recorded(request: BookingRequest, outcome: BookingOutcome) {}

    /** A repeat got the recorded outcome. */
    public fun replayed(request: BookingRequest) {}

    /** A request was not run here. */
    public fun refused(request: BookingRequest, reason: Claim.Refused) {}

    /** The ledger was sealed. */
    public fun sealed(keys: Int) {}

    /** The move of the sealed ledger ended; [successor] is null when none was found. */
    public fun moved(state: MoveOutcome, successor: Incarnation?) {}

    public companion object : BookingEvents
}

private const val REUSED_MESSAGE: String = "the idempotency key was used with another method, address or body"
private const val FORGOTTEN_MESSAGE: String = "the idempotency key has expired, and its outcome is no longer kept"
private const val RETRY_MILLIS: Long = 1_000
