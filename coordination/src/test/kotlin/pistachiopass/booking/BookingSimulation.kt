/**
 * A simulation of bookings in virtual time: instances that are killed, paused, cut off and stopped, a network that
 * delays and loses messages, and a service that records its runs.
 */
package pistachiopass.booking

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.model.DataCentreId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId
import pistachiopass.peer.PeerFailure
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerHandler
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.ReceivedMessage
import pistachiopass.peer.SendOutcome
import pistachiopass.peer.startIdOf
import kotlin.random.Random
import kotlin.time.TimeSource

/** The correct implementation, or one that is faulty on purpose. */
internal class Variant(
    val name: String,
    val sendsTwice: Boolean = false,
    val successorRule: SuccessorRule = afterRefusal,
)

/** The instances, network and service of one history; all random numbers come from [random]. */
internal class Fleet(
    val scope: CoroutineScope,
    val clock: TimeSource.WithComparableMarks,
    val random: Random,
    val variant: Variant,
) {
    val service = RecordingService(scope, random)
    val simulatedInstances = HashMap<InstanceId, SimulatedInstance>()
    val cuts = HashSet<Set<InstanceId>>()
    val published = MutableStateFlow(emptyList<Instance>())
    val moves = ArrayList<MoveOutcome>()
    val messages = HashMap<String, Int>()
    private var startCount = 0L

    fun start(id: InstanceId, dataCentre: DataCentreId) {
        simulatedInstances[id] = SimulatedInstance(this, PeerIdentity(id, dataCentre, startIdOf(++startCount, random)))
    }

    fun randomInstance(): SimulatedInstance = simulatedInstances.values.sortedBy { it.identity.instance }.random(random)

    fun isCut(a: InstanceId, b: InstanceId): Boolean = setOf(a, b) in cuts
}

/** One incarnation of an instance. */
internal class SimulatedInstance(private val fleet: Fleet, val identity: PeerIdentity) {
    private val job: Job = SupervisorJob(fleet.scope.coroutineContext[Job])
    val scope = CoroutineScope(fleet.scope.coroutineContext + job)
    val isResumed = MutableStateFlow(true)
    val handlers = HashMap<String, PeerHandler>()
    var isAlive = true
    var isStopping = false

    private val sender = BookingSender { key, request ->
        awaitResumed()
        val first = fleet.service.call(key, request)
        awaitResumed()
        if (fleet.variant.sendsTwice && first.verdict != Verdict.RAN) fleet.service.call(key, request) else first
    }

    val bookings: Bookings = bookingsOf(
        BookingConfig(
            sharedKey = ByteArray(32) { 3 },
            transport = LossyTransport(fleet, this),
            sender = sender,
            instances = { fleet.published.value },
            clock = fleet.clock,
        ),
        scope,
        successorRule = fleet.variant.successorRule,
    )

    suspend fun awaitResumed() {
        isResumed.first { it }
    }

    fun kill() {
        isAlive = false
        scope.cancel()
    }

    suspend fun stop() {
        isStopping = true
        scope.launch { fleet.moves += bookings.stop(drainMillis = 3_000, moveMillis = 8_000) }.join()
    }
}

private class LossyTransport(private val fleet: Fleet, private val instance: SimulatedInstance) : PeerTransport {
    override val self: PeerIdentity = instance.identity

    override fun register(typeName: String, handler: PeerHandler) {
        instance.handlers[typeName] = handler
    }

    override suspend fun send(to: InstanceId, message: PeerMessage, startId: StartId?): SendOutcome {
        call(to, message, timeoutMillis = 1, startId)
        return SendOutcome.QUEUED
    }

    override suspend fun call(
        to: InstanceId,
        message: PeerMessage,
        timeoutMillis: Long,
        startId: StartId?,
    ): Result<PeerMessage, PeerFailure> {
        fleet.messages.merge(message.typeName, 1, Int::plus)
        val response = CompletableDeferred<Result<PeerMessage, PeerFailure>>()
        fleet.scope.launch { deliver(to, message, startId, response) }
        val result = withTimeoutOrNull(timeoutMillis) { response.await() }
        instance.awaitResumed()
        return result ?: failure(PeerFailureCode.TIMEOUT, Verdict.MAY_HAVE_RUN)
    }

    /** A message may be handled long after its sender has timed out. */
    private suspend fun deliver(
        to: InstanceId,
        message: PeerMessage,
        startId: StartId?,
        response: CompletableDeferred<Result<PeerMessage, PeerFailure>>,
    ) {
        delay(latencyMillis())
        val target = fleet.simulatedInstances[to]
        when {
            fleet.isCut(self.instance, to) || target == null || !target.isAlive ->
                response.complete(failure(PeerFailureCode.UNREACHABLE, Verdict.NOT_RUN))
            fleet.random.nextInt(LOSS_ONE_IN) == 0 -> response.complete(lost())
            startId != null && startId != target.identity.startId ->
                response.complete(failure(PeerFailureCode.OTHER_LIFE, Verdict.NOT_RUN))
            else -> target.scope.launch { response.complete(handled(target, message)) }
        }
    }

    private suspend fun handled(target: SimulatedInstance, message: PeerMessage): Result<PeerMessage, PeerFailure> {
        target.awaitResumed()
        val handler = target.handlers.getValue(message.typeName)
        val reply = try {
            handler.handle(ReceivedMessage(self, message))
        } catch (_: IllegalStateException) {
            null
        }
        target.awaitResumed()
        delay(latencyMillis())
        val isLost = fleet.isCut(self.instance, target.identity.instance) || fleet.random.nextInt(LOSS_ONE_IN) == 0
        return if (isLost || reply == null) lost() else Ok(reply)
    }

    private fun latencyMillis(): Long =
        if (fleet.random.nextInt(SLOW_ONE_IN) == 0) fleet.random.nextLong(9_000) else fleet.random.nextLong(1, 5)

    private fun lost() = failure(PeerFailureCode.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    private fun failure(code: PeerFailureCode, verdict: Verdict) = Err(PeerFailure(code, verdict, "simulated"))
}

/** A service that runs bookings or fails in one of several ways, and counts the runs. */
internal class RecordingService(private val scope: CoroutineScope, private val random: Random) {
    val runsByKey = HashMap<String, Int>()
    val runsByBooking = HashMap<String, Int>()

    suspend fun call(key: String, request: BookingRequest): BookingOutcome {
        delay(random.nextLong(1, 20))
        return when (random.nextInt(SERVICE_CASES)) {
            0, 1 -> failed(FailureCode.NO_ENDPOINT, Verdict.NOT_RUN)
            2 -> failed(FailureCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN)
            3 -> failed(FailureCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN).also { run(key, request) }
            4 -> {
                scope.launch { delay(random.nextLong(6_000)).also { run(key, request) } }
                delay(random.nextLong(3_000))
                failed(FailureCode.TIMEOUT, Verdict.MAY_HAVE_RUN)
            }
            else -> {
                run(key, request)
                delay(if (random.nextInt(4) == 0) random.nextLong(4_000) else random.nextLong(50))
                BookingOutcome.Response(201, emptyList(), "answer ${random.nextInt()}".encodeToByteArray())
            }
        }
    }

    private fun run(key: String, request: BookingRequest) {
        runsByKey.merge(key, 1, Int::plus)
        runsByBooking.merge(request.body.decodeToString(), 1, Int::plus)
    }

    private fun failed(code: FailureCode, verdict: Verdict): BookingOutcome =
        BookingOutcome.Failed(Failure(code, verdict, "simulated"))
}

/** A caller that makes bookings and adds the outcomes that it gets to [history]. */
internal class Caller(private val fleet: Fleet, private val name: String, private val history: History) {
    suspend fun run() {
        repeat(BOOKINGS) {
            delay(fleet.random.nextLong(3_000))
            book("$name-$it")
        }
    }

    private suspend fun book(booking: String) {
        var key = newKeyOrNull()
        delay(fleet.random.nextLong(KEY_USE_DELAY_MAX_MILLIS))
        repeat(ATTEMPTS) {
            val used = key ?: return
            val outcomes = attempts(used, booking).onEach { history.add(used, it) }
            if (outcomes.any { it.verdict == Verdict.RAN }) return
            if (outcomes.any { it.verdict == Verdict.NOT_RUN }) key = newKeyOrNull()
            delay(fleet.random.nextLong(2_000))
        }
    }

    /** Sends the booking to one instance or, in a third of the cases, to two at the same time. */
    private suspend fun attempts(key: String, booking: String): List<BookingOutcome> = coroutineScope {
        val count = if (fleet.random.nextInt(3) == 0) 2 else 1
        (1..count).map { async { attempt(key, booking) } }.awaitAll()
    }

    private suspend fun newKeyOrNull(): String? = fleet.randomInstance().let { instance ->
        instance.awaitResumed()
        instance.bookings.issueKey().get()
    }

    /** Returns [NO_ANSWER] if the instance is killed before it answers. */
    private suspend fun attempt(key: String, booking: String): BookingOutcome {
        val instance = fleet.randomInstance()
        val answer = CompletableDeferred<BookingOutcome>()
        val request = BookingRequest(
            RequestId(booking),
            WorkspaceId("w"),
            method = "POST",
            uri = "/pickups",
            emptyList(),
            booking.encodeToByteArray(),
        )
        instance.scope.launch {
            instance.awaitResumed()
            answer.complete(instance.bookings.book(key, request, CALL_MILLIS))
        }
        return withTimeoutOrNull(CALLER_TIMEOUT_MILLIS) { answer.await() } ?: NO_ANSWER
    }
}

/** The outcomes that callers got for each key. */
internal class History {
    private val replies = HashMap<String, MutableList<BookingOutcome>>()

    fun add(key: String, outcome: BookingOutcome) {
        replies.getOrPut(key) { ArrayList() } += outcome
    }

    fun count(verdict: Verdict): Int = replies.values.flatten().count { it.verdict == verdict }

    /** Returns the violations in this history, given the runs that [service] recorded. */
    fun violations(service: RecordingService): List<String> =
        service.runsByKey.filterValues { it > 1 }.map { "key ran ${it.value} times" } +
            service.runsByBooking.filterValues { it > 1 }.map { "booking ${it.key} ran ${it.value} times" } +
            replies.filter { (key, outcomes) -> isFalseNotRun(service, key, outcomes) }
                .map { "a booking that ran was reported as 'not run'" } +
            replies.values.filter { outcomes -> answersOf(outcomes).distinct().size > 1 }
                .map { "two different answers for one key" } +
            replies.filter { (key, outcomes) -> answersOf(outcomes).isNotEmpty() && key !in service.runsByKey }
                .map { "an answer without a run" }

    private fun isFalseNotRun(service: RecordingService, key: String, outcomes: List<BookingOutcome>): Boolean =
        key in service.runsByKey && outcomes.any { it.verdict == Verdict.NOT_RUN }

    private fun answersOf(outcomes: List<BookingOutcome>): List<String> =
        outcomes.filterIsInstance<BookingOutcome.Response>().map { it.body.decodeToString() }
}

internal val NO_ANSWER: BookingOutcome =
    BookingOutcome.Failed(Failure(FailureCode.TIMEOUT, Verdict.MAY_HAVE_RUN, "the caller timed out"))

private const val LOSS_ONE_IN = 12
private const val SLOW_ONE_IN = 10
private const val SERVICE_CASES = 12
private const val KEY_USE_DELAY_MAX_MILLIS = 4_000L
private const val BOOKINGS = 8
private const val ATTEMPTS = 6
private const val CALL_MILLIS = 4_000L
private const val CALLER_TIMEOUT_MILLIS = 5_000L
