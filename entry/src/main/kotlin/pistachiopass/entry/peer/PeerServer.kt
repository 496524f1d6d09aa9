/** Accepts connections of peers, authenticates them and runs their sessions. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.model.InstanceId
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Serves the connections of a [ByteListener]; a new session of a peer replaces its previous one. */
internal class PeerServer(
    private val handshake: Handshake,
    private val dispatcher: PeerDispatcher,
    private val limits: PeerLimits,
    private val clock: TimeSource.WithComparableMarks,
    private val events: PeerEvents,
) {
    private val handshakes: Semaphore = Semaphore(limits.handshakes)
    private val sessions: ConcurrentHashMap<InstanceId, PeerSession> = ConcurrentHashMap()

    /** Accepts connections until the coroutine is cancelled; retries after a failed accept. */
    suspend fun run(listener: ByteListener, scope: CoroutineScope) {
        while (currentCoroutineContext().isActive) {
            val connection = acceptOrNull(listener)
            when {
                connection == null -> delay(ACCEPT_RETRY_DELAY_MILLIS)
                handshakes.tryAcquire() -> scope.launch { serve(connection) }
                else -> {
                    events.refused(HandshakeError.TOO_MANY)
                    connection.close()
                }
            }
        }
    }

    private suspend fun acceptOrNull(listener: ByteListener): ByteConnection? = try {
        listener.accept()
    } catch (_: IOException) {
        events.refused(HandshakeError.LOST)
        null
    }

    fun close() = sessions.values.forEach { it.close(FrameError.ENDED) }

    private suspend fun serve(connection: ByteConnection): Unit = connection.use {
        val channel = authenticate(connection)
            .onFailure { error -> events.refused(error) }
            .get() ?: return
        val session = PeerSession(channel, limits, clock)
        sessions.put(channel.peer.instance, session)?.close(FrameError.ENDED)
        events.connected(PeerEvent.ACCEPTED, channel.peer)
        try {
            val cause = session.run { frame -> dispatcher.onFrame(session, frame) }
            events.lost(PeerEvent.ACCEPTED, channel.peer, cause)
        } finally {
            sessions.remove(channel.peer.instance, session)
        }
    }

    private suspend fun authenticate(connection: ByteConnection): Result<AuthenticatedChannel, HandshakeError> = try {
        withTimeoutOrNull(limits.handshakeTimeoutMillis) { handshake.accept(connection) } ?: Err(HandshakeError.LOST)
    } catch (_: IOException) {
        Err(HandshakeError.LOST)
    } finally {
        handshakes.release()
    }
}

private const val ACCEPT_RETRY_DELAY_MILLIS: Long = 100
