/** The server side of the peer protocol: passes messages to handlers, bounds their number and sends responses. */
package pistachiopass.entry.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import pistachiopass.entry.metrics.Direction
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.model.StartId
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerHandler
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.ReceivedMessage
import java.util.concurrent.ConcurrentHashMap

/** Passes the frames of accepted sessions to the handlers; a handler keeps running when its connection ends. */
internal class PeerDispatcher(
    private val self: PeerIdentity,
    private val incarnations: IncarnationRegistry,
    private val limits: PeerLimits,
    private val events: PeerEvents,
    private val scope: CoroutineScope,
) {
    private val budget: HandlerBudget = HandlerBudget(limits)
    private val handlers: ConcurrentHashMap<String, PeerHandler> = ConcurrentHashMap()

    /** Registers the handler for messages of the type [typeName]. */
    fun register(typeName: String, handler: PeerHandler) {
        val previous = handlers.putIfAbsent(typeName, handler)
        require(previous == null) { "a handler for messages of type $typeName is already registered" }
    }

    /** Processes a frame received over [session]. */
    fun onFrame(session: PeerSession, frame: Frame) {
        when (frame) {
            is Frame.Call -> {
                val message = PeerMessage(frame.typeName, frame.payload)
                start(session, message, frame.startId, frame.callId)
            }
            is Frame.Notice -> start(session, PeerMessage(frame.typeName, frame.payload), frame.startId, callId = null)
            is Frame.KeepAlive -> Unit
            else -> events.count(PeerEvent.DROPPED_UNEXPECTED)
        }
    }

    private fun start(session: PeerSession, message: PeerMessage, startId: StartId?, callId: Long?) {
        val handler = handlers[message.typeName]
        val newest = incarnations.newestOrNull(session.peer.instance)
        when {
            newest != null && newest != session.peer.startId || startId != null && startId != self.startId ->
                drop(session, callId, PeerEvent.DROPPED_OTHER_LIFE, PeerFailureCode.OTHER_LIFE)
            handler == null -> drop(session, callId, PeerEvent.DROPPED_NO_HANDLER, PeerFailureCode.NO_HANDLER)
            !budget.tryAcquire(message.payload.size) ->
                drop(session, callId, PeerEvent.DROPPED_OVERLOADED, PeerFailureCode.OVERLOADED)
            else -> scope.launch { handle(session, message, handler, callId) }
                .invokeOnCompletion { budget.release(message.payload.size) }
        }
    }

    private fun drop(session: PeerSession, callId: Long?, event: PeerEvent, code: PeerFailureCode) {
        events.count(event)
        if (callId != null) respond(session, encodeFrame(Frame.Refusal(callId, code, handled = false)))
    }

    private suspend fun handle(session: PeerSession, message: PeerMessage, handler: PeerHandler, callId: Long?) {
        events.countMessage(Direction.RECEIVED, message)
        val result = runCatching { handler.handle(ReceivedMessage(session.peer, message)) }
        result.onFailure { cause ->
            scope.ensureActive()
            events.handlerFailed(session.peer.instance, message, cause)
        }
        if (callId == null) return
        val response = result.getOrNull()?.let { encodeFrame(Frame.Response(callId, it.typeName, it.payload)) }
        respond(session, response?.takeIf { it.size <= limits.frameBytes } ?: encodeFrame(failed(callId)))
    }

    /** Queues the response to a call; closes the session if the queue is full, so that the caller does not wait. */
    private fun respond(session: PeerSession, body: ByteArray) {
        if (!session.isOpen) return events.count(PeerEvent.RESPONSE_NOT_SENT)
        if (session.offer(OutboundFrame(body))) return
        events.count(PeerEvent.RESPONSE_NOT_SENT)
        session.close(FrameError.ENDED)
    }

    private fun failed(callId: Long): Frame = Frame.Refusal(callId, PeerFailureCode.HANDLER_FAILED, handled = true)
}
