/**
 * The interface of the transport between instances.
 *
 * Calls and one-way messages are delivered at most once and in no particular order. The transport never sends a message
 * again by itself: the sender decides, by the verdict of the [PeerFailure].
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
    /** The identity of this process, which peers see as the sender of every message. */
    public val self: PeerIdentity

    /**
     * Sends [message] one way and returns once it is queued or cannot be queued.
     *
     * May wait for a connection, at most for the connect timeout of the transport. If [startId] is given, only that
     * incarnation of the peer may handle the message.
     */
    public suspend fun send(to: InstanceId, message: PeerMessage, startId: StartId? = null): SendOutcome

    /**
     * Sends [message] and returns the peer's response, or the failure with its verdict after at most [timeoutMillis].
     *
     * If [startId] is given, only that incarnation of the peer may handle the message; any other refuses it with the
     * verdict `not run`.
     */
    public suspend fun call(
        to: InstanceId,
        message: PeerMessage,
        timeoutMillis: Long,
        startId: StartId? = null,
    ): Result<PeerMessage, PeerFailure>

    /** Registers the handler of the message type [typeName]; a type has at most one handler. */
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

/** The result of sending a one-way message. */
public enum class SendOutcome {
    /** Queued on an open connection; it may still be lost. */
    QUEUED,

    /** Not sent: there is no connection to the peer, or its address is unknown. */
    UNREACHABLE,

    /** Not sent: the send queue of the connection is full. */
    QUEUE_FULL,

    /** Not sent: the message exceeds the maximum frame size. */
    TOO_LARGE,

    /** Not sent: the peer runs as another incarnation than the one addressed. */
    OTHER_LIFE,
}

/** The cause of a failed call. */
public enum class PeerFailureCode {
    /** There is no connection to the peer, or its address is unknown. */
    UNREACHABLE,

    /** The send queue of the connection is full. */
    QUEUE_FULL,

    /** The message exceeds the maximum frame size. */
    TOO_LARGE,

    /** The peer runs as another incarnation than the one addressed. */
    OTHER_LIFE,

    /** The peer has no handler for the type of the message. */
    NO_HANDLER,

    /** The peer runs its maximum number of handlers. */
    OVERLOADED,

    /** The peer's handler failed, or its response could not be sent or decoded. */
    HANDLER_FAILED,

    /** The connection was lost before the response arrived. */
    CONNECTION_LOST,

    /** No response arrived in time. */
    TIMEOUT,
}

/**
 * The reason why a call got no response.
 *
 * [verdict] is [Verdict.NOT_RUN] only if the peer's handler cannot have seen the call: no byte of it was written, or
 * the peer refused it before handling. Otherwise it is [Verdict.MAY_HAVE_RUN].
 */
public data class PeerFailure(val code: PeerFailureCode, val verdict: Verdict, val message: String)

/** Calls a peer and decodes its response; one of another type fails as [PeerFailureCode.HANDLER_FAILED]. */
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

/** Registers a handler of typed messages, which returns the response to a call or null for a one-way message. */
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

/** Sends [message] to all [peers] concurrently and returns the outcome for each. */
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
