/**
 * The transport between instances as the decision code sees it.
 *
 * Calls and one-way messages are delivered at most once and in no particular order. The transport never repeats a
 * message by itself: whoever sends decides, by the verdict of the [PeerFailure].
 */
package pistachiopass.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict

/** Carries messages between instances. */
public interface PeerTransport {
    /** The identity that peers see on every message of this process. */
    public val self: PeerIdentity

    /**
     * Sends [message] one way and returns once it is queued or cannot be.
     *
     * May wait for a connection, at most the transport's connect timeout. Where [startId] is given, only that life of
     * the peer may handle the message.
     */
    public suspend fun send(to: InstanceId, message: PeerMessage, startId: StartId? = null): SendOutcome

    /**
     * Sends [message] and returns the peer's response, or the failure with its verdict after at most [timeoutMillis].
     *
     * Where [startId] is given, only that life of the peer may handle the message; any other refuses it as not run.
     */
    public suspend fun call(
        to: InstanceId,
        message: PeerMessage,
        timeoutMillis: Long,
        startId: StartId? = null,
    ): Result<PeerMessage, PeerFailure>

    /** Registers the handler of a message type; at most one per type name. */
    public fun register(typeName: String, handler: PeerHandler)
}

/** Handles the messages of one type. */
public fun interface PeerHandler {
    /**
     * Returns the response to a call, or null for a one-way message.
     *
     * Runs concurrently with other messages. A call whose handler returns null or throws fails at the caller with the
     * verdict `may have run`.
     */
    public suspend fun handle(received: ReceivedMessage): PeerMessage?
}

/** Tells what became of a one-way message. */
public enum class SendOutcome {
    /** Queued on an open connection; it may still be lost. */
    QUEUED,

    /** Not sent: there is no connection to the peer, or its address is unknown. */
    UNREACHABLE,

    /** Not sent: the send queue of the connection is full. */
    QUEUE_FULL,

    /** Not sent: the message exceeds the frame limit. */
    TOO_LARGE,

    /** Not sent: the peer runs another life than the one addressed. */
    OTHER_LIFE,
}

/** Names the cause of a failed call. */
public enum class PeerFailureCode {
    /** No connection, or the address is unknown. */
    UNREACHABLE,

    /** The send queue of the connection is full. */
    QUEUE_FULL,

    /** The message exceeds the frame limit. */
    TOO_LARGE,

    /** The peer runs another life than the one addressed. */
    OTHER_LIFE,

    /** The peer has no handler for the type of the message. */
    NO_HANDLER,

    /** The peer runs as many handlers as it may. */
    OVERLOADED,

    /** The peer's handler failed, or its response could not be sent or decoded. */
    HANDLER_FAILED,

    /** The connection ended before the response. */
    CONNECTION_LOST,

    /** No response came in time. */
    TIMEOUT,
}

/**
 * Describes why a call got no response.
 *
 * [verdict] is [Verdict.NOT_RUN] only where the peer's handler cannot have seen the call: no byte of it was written,
 * or the peer refused it before handling. Otherwise it is [Verdict.MAY_HAVE_RUN].
 */
public data class PeerFailure(val code: PeerFailureCode, val verdict: Verdict, val message: String)

/** Calls a peer with typed messages; a response of another type is a [PeerFailureCode.HANDLER_FAILED]. */
public suspend fun <R : Any> PeerTransport.call(
    to: InstanceId,
    request: PeerMessage,
    responseType: PeerMessageType<R>,
    timeoutMillis: Long,
    startId: StartId? = null,
): Result<R, PeerFailure> = call(to, request, timeoutMillis, startId).flatMap { response ->
    when (val value = responseType.decodeOrNull(response)) {
        null -> Err(undecodable(response, responseType))
        else -> Ok(value)
    }
}

/** Registers a handler that takes and returns typed messages; a null response is for one-way messages. */
public fun <Q : Any, R : Any> PeerTransport.register(
    requestType: PeerMessageType<Q>,
    responseType: PeerMessageType<R>,
    handler: suspend (sender: PeerIdentity, request: Q) -> R?,
) {
    register(requestType.name) { received ->
        val request = requireNotNull(requestType.decodeOrNull(received.message)) { "malformed ${received.message}" }
        handler(received.sender, request)?.let(responseType::encode)
    }
}

/** Registers a handler of a typed one-way message. */
public fun <Q : Any> PeerTransport.register(
    type: PeerMessageType<Q>,
    handler: suspend (sender: PeerIdentity, message: Q) -> Unit,
) {
    register(type.name) { received ->
        val message = requireNotNull(type.decodeOrNull(received.message)) { "malformed ${received.message}" }
        handler(received.sender, message)
        null
    }
}

/** Sends [message] to all [peers] at the same time and returns what became of each copy. */
public suspend fun PeerTransport.sendToAll(
    peers: Collection<InstanceId>,
    message: PeerMessage,
): Map<InstanceId, SendOutcome> = coroutineScope {
    peers.map { peer -> async { peer to send(peer, message) } }.awaitAll().toMap()
}

private fun undecodable(response: PeerMessage, expected: PeerMessageType<*>): PeerFailure = PeerFailure(
    PeerFailureCode.HANDLER_FAILED,
    Verdict.MAY_HAVE_RUN,
    "expected a response of type $expected, got $response",
)
