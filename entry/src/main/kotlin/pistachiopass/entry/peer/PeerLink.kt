/** The outgoing connection to one peer: opened on demand, shared by all callers, and reopened after it has ended. */
package pistachiopass.entry.peer

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Manages the session with one peer; [open] returns a running one, or null when the peer cannot be reached. */
internal class PeerLink(
    private val scope: CoroutineScope,
    private val backoff: Backoff,
    private val open: suspend () -> PeerClientSession?,
) {
    private val lock: Mutex = Mutex()

    @Volatile
    private var attempt: Deferred<PeerClientSession?>? = null

    /** Returns an open session, or null when connecting failed or the delay before the next attempt has not passed. */
    suspend fun sessionOrNull(): PeerClientSession? {
        val current = lock.withLock { usableAttemptOrStart() }
        return try {
            current?.await()
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        }
    }

    /** Closes the session or cancels the attempt to open one. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun close() {
        val current = attempt ?: return
        current.cancel()
        if (current.isCompleted && !current.isCancelled) current.getCompleted()?.close()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun usableAttemptOrStart(): Deferred<PeerClientSession?>? {
        val current = attempt
        val isUsable = current != null && (!current.isCompleted || current.sessionOrNull()?.isOpen == true)
        return when {
            isUsable -> current
            backoff.isWaiting -> null
            else -> scope.async { openOrNull() }.also { attempt = it }
        }
    }

    private suspend fun openOrNull(): PeerClientSession? {
        val session = open()
        if (session == null) backoff.onFailure() else backoff.onSuccess()
        return session
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun Deferred<PeerClientSession?>.sessionOrNull(): PeerClientSession? =
        if (isCancelled) null else getCompleted()
}
