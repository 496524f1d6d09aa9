/**
 * Forwards bookings to the incarnation that holds their keys.
 *
 * A booking may be forwarded any number of times, since only the holder decides whether it runs. If the outcome cannot
 * be found out in time, the verdict is `may have run`: an earlier attempt with the key may have reached the holder.
 */
package pistachiopass.booking

import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.Verdict
import pistachiopass.peer.PeerFailure
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.call
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Finds the holder of a key in [directory], or else asks the published instances of the issuer's data centre. */
public class BookingRouter internal constructor(
    private val transport: PeerTransport,
    private val runner: BookingRunner,
    private val ledger: BookingLedger,
    private val directory: HolderDirectory,
    private val instances: () -> List<Instance>,
    private val clock: TimeSource.WithComparableMarks,
) {
    /** Returns the outcome of [request] under [key]; it is `may have run` if not known after [timeoutMillis]. */
    public suspend fun book(
        key: BookingKey,
        keyText: String,
        request: BookingRequest,
        timeoutMillis: Long,
    ): BookingOutcome {
        val deadline = clock.markNow() + timeoutMillis.milliseconds
        val search = Search(key.issuer, RunCall(keyText, request, waitMillis = 0), deadline)
        return withTimeoutOrNull(timeoutMillis) { search.run(key) }
            ?: mayHaveRun(FailureCode.TIMEOUT, TIMEOUT_MESSAGE)
    }

    /** Returns the known holder of the keys of [issuer], or null when no move of them is known here. */
    internal fun knownHolderOrNull(issuer: Incarnation): Incarnation? =
        if (ledger.holds(issuer) && issuer != ledger.self) ledger.self else directory.holderOrNull(issuer)

    private inner class Search(
        private val issuer: Incarnation,
        private val template: RunCall,
        private val deadline: ComparableTimeMark,
    ) {
        private val searchDeadline = minOf(deadline, clock.markNow() + SEARCH_TIMEOUT_MILLIS.milliseconds)

        suspend fun run(key: BookingKey): BookingOutcome {
            var holder = knownHolderOrNull(issuer) ?: issuer
            while (true) {
                val reply = ask(key, holder)
                if (reply is RunReply.Done) return reply.outcome
                val next = (reply as? RunReply.Moved)?.holder ?: locateOrNull(holder)
                if (next == null || next == holder) {
                    if (searchDeadline.hasPassedNow()) return mayHaveRun(FailureCode.ENDPOINT_FAILED, NO_HOLDER_MESSAGE)
                    delay(SEARCH_RETRY_DELAY_MILLIS)
                } else {
                    directory.record(issuer, next)
                }
                holder = next ?: issuer
            }
        }

        private suspend fun ask(key: BookingKey, holder: Incarnation): RunReply? {
            val waitMillis = (-deadline.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
            if (holder == ledger.self) return runner.run(key, template.request, waitMillis)
            val call = RunCall(template.key, template.request, (waitMillis - REPLY_MARGIN_MILLIS).coerceAtLeast(0))
            return transport.call(holder.instance, RUN_CALL.encode(call), RUN_REPLY, waitMillis, holder.startId)
                .mapBoth({ it }, ::replyOrNull)
        }

        private suspend fun locateOrNull(asked: Incarnation): Incarnation? =
            knownHolderOrNull(issuer)?.takeIf { it == ledger.self } ?: mostReliableOrNull(askPeers(), asked)

        /** Prefers a peer that reports itself as the holder to one that reports another instance. */
        private fun mostReliableOrNull(holders: Map<InstanceId, Incarnation>, asked: Incarnation): Incarnation? =
            holders.entries.firstOrNull { (peer, holder) -> holder.instance == peer }?.value
                ?: holders.values.firstOrNull { it != asked }

        private suspend fun askPeers(): Map<InstanceId, Incarnation> = coroutineScope {
            val message = LOCATE_CALL.encode(LocateCall(issuer))
            val peers = instances().filter { it.dataCentre == issuer.dataCentre }.map { it.id } - ledger.self.instance
            peers.map { peer -> async { peer to transport.call(peer, message, LOCATE_REPLY, LOCATE_TIMEOUT_MILLIS) } }
                .awaitAll()
                .mapNotNull { (peer, reply) -> reply.get()?.holder?.let { peer to it } }
                .toMap()
        }
    }

    /** A booking above the maximum frame size is refused by the local transport and never reaches the holder. */
    private fun replyOrNull(failure: PeerFailure): RunReply? =
        if (failure.code == PeerFailureCode.TOO_LARGE) {
            RunReply.Done(
                mayHaveRun(FailureCode.PROMPT_TOO_LARGE, "the booking is too large to be forwarded to its holder"),
            )
        } else {
            null
        }
}

private fun mayHaveRun(code: FailureCode, message: String): BookingOutcome =
    BookingOutcome.Failed(Failure(code, Verdict.MAY_HAVE_RUN, message, RETRY_AFTER_MILLIS))

private const val TIMEOUT_MESSAGE: String = "the outcome of the booking is not known yet"
private const val NO_HOLDER_MESSAGE: String = "the instance that holds the idempotency key cannot be reached"
private const val RETRY_AFTER_MILLIS: Long = 1_000
private const val SEARCH_TIMEOUT_MILLIS: Long = 3_000
private const val SEARCH_RETRY_DELAY_MILLIS: Long = 100
private const val LOCATE_TIMEOUT_MILLIS: Long = 500
private const val REPLY_MARGIN_MILLIS: Long = 50
