/** The bookings of one instance: the entry point of the package. */
package pistachiopass.booking

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Instance
import pistachiopass.model.Verdict
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.register
import kotlin.time.TimeSource

/** What the instance provides for [Bookings]. */
public class BookingConfig(
    public val sharedKey: ByteArray,
    public val transport: PeerTransport,
    public val sender: BookingSender,
    /** Returns the published instances. */
    public val instances: () -> List<Instance>,
    public val limits: LedgerLimits = LedgerLimits(),
    public val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
)

/** Returns the bookings of this instance, which run in [scope], and registers their messages with the transport. */
public fun bookingsOf(
    config: BookingConfig,
    scope: CoroutineScope,
    events: BookingEvents = BookingEvents,
    successorRule: SuccessorRule = afterRefusal,
): Bookings = Bookings(config, scope, events, successorRule).also { it.register(config.transport) }

/** Issues idempotency keys, runs each booking at most once, and moves the ledger to a successor at a stop. */
public class Bookings internal constructor(
    config: BookingConfig,
    scope: CoroutineScope,
    events: BookingEvents,
    successorRule: SuccessorRule,
) {
    private val codec = bookingKeyCodecOf(config.sharedKey)
    private val directory = HolderDirectory()
    private val runner: BookingRunner

    /** The ledger of the keys that this instance holds. */
    public val ledger: BookingLedger =
        bookingLedgerOf(config.transport.self.toIncarnation(), config.limits, config.clock)

    private val router: BookingRouter
    private val mover: LedgerMover
    private val receiver: LedgerReceiver = LedgerReceiver(ledger)

    init {
        runner = BookingRunner(ledger, codec, config.sender, scope, events)
        router = BookingRouter(config.transport, runner, ledger, directory, config.instances, config.clock)
        mover = LedgerMover(
            config.transport,
            ledger,
            runner,
            config.instances,
            events,
            successorRule,
        )
    }

    /** Issues a new key and returns its text, or the failure when none can be issued. */
    public fun issueKey(): Result<String, Failure> = ledger.issue().map(codec::format).mapError(::issueFailure)

    /** Returns the outcome of [request] under the key [keyText], after at most [timeoutMillis]. */
    public suspend fun book(keyText: String, request: BookingRequest, timeoutMillis: Long): BookingOutcome =
        codec.parse(keyText).mapBoth(
            { key -> router.book(key, keyText, request, timeoutMillis) },
            { failure -> BookingOutcome.Failed(failure) },
        )

    /** Seals the ledger, waits up to [drainMillis] for running bookings, then moves it within [moveMillis]. */
    public suspend fun stop(drainMillis: Long, moveMillis: Long): MoveOutcome {
        mover.seal()
        withTimeoutOrNull(drainMillis) { while (ledger.runningCount > 0) delay(DRAIN_POLL_MILLIS) }
        return mover.move(moveMillis)
    }

    internal fun register(transport: PeerTransport) {
        transport.register(RUN_CALL, RUN_REPLY) { _, call -> run(call) }
        transport.register(LOCATE_CALL, LOCATE_REPLY) { _, call ->
            LocateReply(router.knownHolderOrNull(call.issuer))
        }
        transport.register(OFFER_CALL, OFFER_REPLY) { _, _ -> OfferReply(!ledger.isSealed, ledger.self) }
        transport.register(MOVE_CALL, MOVE_REPLY) { _, call -> MoveReply(receiver.receive(call)) }
        transport.register(MOVED_NOTICE) { _, notice ->
            notice.issuers.forEach { directory.record(it, notice.holder) }
        }
    }

    private suspend fun run(call: RunCall): RunReply = codec.parse(call.key).mapBoth(
        { key -> runner.run(key, call.request, call.waitMillis) },
        { failure -> RunReply.Done(BookingOutcome.Failed(failure)) },
    )

    private fun issueFailure(refusal: IssueRefusal): Failure = when (refusal) {
        IssueRefusal.FULL -> Failure(
            FailureCode.OVERLOADED,
            Verdict.NOT_RUN,
            "the instance cannot hold more idempotency keys",
            RETRY_AFTER_MILLIS,
        )
        IssueRefusal.SEALED -> Failure(
            FailureCode.STOPPING,
            Verdict.NOT_RUN,
            "the instance is stopping and issues no idempotency keys",
            RETRY_AFTER_MILLIS,
        )
    }
}

private const val DRAIN_POLL_MILLIS: Long = 20
private const val RETRY_AFTER_MILLIS: Long = 1_000
