/** The client side of a connection between instances: sends calls and one-way messages. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.metrics.Direction
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerFailure
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.SendOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Sends calls over [session] and assigns the responses to them by call id. */
internal class PeerClientSession(
    private val session: PeerSession,
    private val limits: PeerLimits,
    private val events: PeerEvents,
    private val incarnations: IncarnationRegistry,
) {
    private class PendingCall(val outbound: OutboundFrame) {
        val result: CompletableDeferred<Result<PeerMessage, PeerFailure>> = CompletableDeferred()

        fun fail(code: PeerFailureCode, message: String) {
            val verdict = if (outbound.withdraw()) Verdict.NOT_RUN else Verdict.MAY_HAVE_RUN
            result.complete(Err(PeerFailure(code, verdict, message)))
        }
    }

    private val pending: ConcurrentHashMap<Long, PendingCall> = ConcurrentHashMap()
    private val nextCallId: AtomicLong = AtomicLong()

    /** Whether calls can still be sent: the connection is open and no newer incarnation of the peer is known. */
    val isOpen: Boolean get() = session.isOpen && isNewestIncarnation

    private val isNewestIncarnation: Boolean
        get() = incarnations.newestOrNull(session.peer.instance).let { it == null || it == session.peer.startId }

    /** The start id of the incarnation at the other end. */
    val peerStartId: StartId get() = session.peer.startId

    /** Sends [message] and returns the response, or a failure after [timeoutMillis] at the latest. */
    suspend fun call(
        message: PeerMessage,
        timeoutMillis: Long,
        startId: StartId?,
    ): Result<PeerMessage, PeerFailure> {
        val callId = nextCallId.incrementAndGet()
        val frame = Frame.Call(callId, message.typeName, message.payload, startId)
        val call = PendingCall(OutboundFrame(encodeFrame(frame)))
        refusalOrNull(call.outbound, startId)?.let { return Err(it) }
        pending[callId] = call
        events.countMessage(Direction.SENT, message)
        try {
            if (!session.offer(call.outbound)) {
                val code = if (isOpen) PeerFailureCode.QUEUE_FULL else PeerFailureCode.CONNECTION_LOST
                call.fail(code, "$message to ${session.peer.instance} was not queued")
            }
            return withTimeoutOrNull(timeoutMillis) { call.result.await() } ?: run {
                call.fail(PeerFailureCode.TIMEOUT, "no response from ${session.peer.instance} within $timeoutMillis ms")
                call.result.await()
            }
        } finally {
            pending.remove(callId)
            call.outbound.withdraw()
        }
    }

    /** Queues [message], which gets no response. */
    fun send(message: PeerMessage, startId: StartId?): SendOutcome {
        val body = encodeFrame(Frame.Notice(message.typeName, message.payload, startId))
        return when {
            startId != null && startId != peerStartId -> SendOutcome.OTHER_LIFE
            body.size > limits.frameBytes -> SendOutcome.TOO_LARGE
            session.offer(OutboundFrame(body)) -> {
                events.countMessage(Direction.SENT, message)
                SendOutcome.QUEUED
            }
            isOpen -> SendOutcome.QUEUE_FULL
            else -> SendOutcome.UNREACHABLE
        }
    }

    /** Runs until the connection ends and returns the cause; calls without a response then fail. */
    suspend fun run(): FrameError {
        try {
            return session.run(::onFrame)
        } finally {
            failAll()
        }
    }

    fun close() = session.close(FrameError.ENDED)

    private fun refusalOrNull(outbound: OutboundFrame, startId: StartId?): PeerFailure? {
        val (code, message) = when {
            startId != null && startId != peerStartId ->
                PeerFailureCode.OTHER_LIFE to "${session.peer.instance} has the start id $peerStartId, not $startId"
            outbound.body.size > limits.frameBytes ->
                PeerFailureCode.TOO_LARGE to "frame of ${outbound.body.size} bytes exceeds ${limits.frameBytes} bytes"
            pending.size >= limits.pendingCalls ->
                PeerFailureCode.QUEUE_FULL to "${pending.size} calls to ${session.peer.instance} are pending; " +
                    "the limit is ${limits.pendingCalls}"
            else -> return null
        }
        return PeerFailure(code, Verdict.NOT_RUN, message)
    }

    private fun onFrame(frame: Frame) {
        when {
            frame is Frame.KeepAlive -> Unit
            isNewestIncarnation -> onResponse(frame)
            else -> {
                events.count(PeerEvent.DROPPED_OTHER_LIFE)
                close()
            }
        }
    }

    private fun onResponse(frame: Frame) {
        when (frame) {
            is Frame.Response -> complete(frame.callId, Ok(PeerMessage(frame.typeName, frame.payload)))
            is Frame.Refusal -> {
                val verdict = if (frame.handled) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
                val message = "call refused by ${session.peer.instance}"
                complete(frame.callId, Err(PeerFailure(frame.code, verdict, message)))
            }
            else -> events.count(PeerEvent.DROPPED_UNEXPECTED)
        }
    }

    private fun complete(callId: Long, result: Result<PeerMessage, PeerFailure>) {
        val isInTime = pending[callId]?.result?.complete(result) ?: false
        if (!isInTime) events.count(PeerEvent.DROPPED_LATE)
    }

    private fun failAll() {
        for (call in pending.values) {
            call.fail(PeerFailureCode.CONNECTION_LOST, "connection to ${session.peer.instance} was closed")
        }
    }
}
