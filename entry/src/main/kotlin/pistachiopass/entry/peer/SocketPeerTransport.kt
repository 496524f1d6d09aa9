/** The transport between instances over TCP or TLS sockets. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerFailure
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerHandler
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.SendOutcome
import java.io.Closeable
import java.util.concurrent.ConcurrentHashMap
import javax.net.ssl.SSLContext
import kotlin.random.Random
import kotlin.time.TimeSource

/** The configuration of a transport: identity of this instance, shared key and addresses of peers. */
public class PeerConfig(
    public val self: PeerIdentity,
    /** The key that all instances share; at least 32 bytes. */
    public val sharedKey: ByteArray,
    public val addresses: PeerAddresses,
    public val limits: PeerLimits = PeerLimits(),
    /** Context for TLS with certificates on both sides; null for plain TCP. */
    public val tls: SSLContext? = null,
    /** Seed of the jitter in the delays between connection attempts. */
    public val backoffSeed: Long = System.nanoTime(),
)

/** Returns a transport that connects to peers on demand; call [SocketPeerTransport.listen] to accept them. */
public fun socketPeerTransportOf(
    config: PeerConfig,
    metrics: Metrics,
    clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    log: EventLog = EventLog,
): SocketPeerTransport = SocketPeerTransport(config, metrics, clock, log, connectionsOf(config))

internal fun connectionsOf(config: PeerConfig): ByteConnections =
    config.tls?.let(::TlsConnections) ?: KtorConnections()

/** Exchanges messages over one connection per peer and direction; calls go over the one that the caller opened. */
public class SocketPeerTransport internal constructor(
    private val config: PeerConfig,
    metrics: Metrics,
    private val clock: TimeSource.WithComparableMarks,
    log: EventLog,
    private val connections: ByteConnections,
) : PeerTransport, Closeable {
    override val self: PeerIdentity = config.self

    private val limits: PeerLimits = config.limits
    private val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val events: PeerEvents = PeerEvents(metrics.peers, log)
    private val incarnations: IncarnationRegistry = IncarnationRegistry()
    private val handshake: Handshake = Handshake(self, config.sharedKey, incarnations)
    private val connector: PeerConnector = PeerConnector(connections, handshake, config.addresses, limits, events)
    private val dispatcher: PeerDispatcher = PeerDispatcher(self, incarnations, limits, events, scope)
    private val server: PeerServer = PeerServer(handshake, dispatcher, limits, clock, events)
    private val random: Random = Random(config.backoffSeed)
    private val links: ConcurrentHashMap<InstanceId, PeerLink> = ConcurrentHashMap()

    init {
        incarnations.admit(self.instance, self.startId)
    }

    /** Accepts connections of peers on [host] and returns the port; port 0 selects a free one. */
    public suspend fun listen(host: String, port: Int): Int {
        val listener = connections.listen(host, port)
        scope.launch { listener.use { server.run(it, scope) } }
        events.listening(self, listener.port, config.backoffSeed)
        return listener.port
    }

    override fun register(typeName: String, handler: PeerHandler): Unit = dispatcher.register(typeName, handler)

    override suspend fun send(to: InstanceId, message: PeerMessage, startId: StartId?): SendOutcome {
        val session = linkTo(to).sessionOrNull() ?: return SendOutcome.UNREACHABLE
        return session.send(message, startId)
    }

    override suspend fun call(
        to: InstanceId,
        message: PeerMessage,
        timeoutMillis: Long,
        startId: StartId?,
    ): Result<PeerMessage, PeerFailure> {
        val start = clock.markNow()
        val session = withTimeoutOrNull(timeoutMillis) { linkTo(to).sessionOrNull() }
            ?: return Err(PeerFailure(PeerFailureCode.UNREACHABLE, Verdict.NOT_RUN, "no connection to $to"))
        return session.call(message, timeoutMillis - start.elapsedNow().inWholeMilliseconds, startId)
    }

    /** Closes the connections to all peers that are not in [published]. */
    public fun retain(published: Set<InstanceId>) {
        for (peer in links.keys - published) links.remove(peer)?.close()
    }

    /** Closes all connections and cancels all handlers; a graceful stop waits for running requests before this. */
    override fun close() {
        scope.cancel()
        links.values.forEach(PeerLink::close)
        server.close()
        connections.close()
    }

    private fun linkTo(peer: InstanceId): PeerLink = links.computeIfAbsent(peer) {
        PeerLink(scope, Backoff(limits, random, clock)) { openOrNull(peer) }
    }

    private suspend fun openOrNull(peer: InstanceId): PeerClientSession? {
        val channel = connector.openOrNull(peer) ?: return null
        val session = PeerClientSession(PeerSession(channel, limits, clock), limits, events, incarnations)
        events.connected(PeerEvent.CONNECTED, channel.peer)
        scope.launch {
            val cause = session.run()
            events.lost(PeerEvent.CONNECTED, channel.peer, cause)
        }
        return session
    }
}
