/** Transports and a proxy on loopback for the tests of the peer protocol. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.entry.metrics.metricsOf
import pistachiopass.model.DataCentreId
import pistachiopass.model.InstanceId
import pistachiopass.model.Verdict
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.SendOutcome
import pistachiopass.peer.startIdOf
import java.io.Closeable
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import javax.net.ssl.SSLContext
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** A transport with its own clock, which advances only when a test moves it. */
internal class TestPeer(
    name: String,
    private val ports: MutableMap<InstanceId, Int>,
    startMillis: Long = 1_000,
    key: ByteArray = SHARED_KEY,
    limits: PeerLimits = TEST_LIMITS,
    tls: SSLContext? = null,
) : Closeable {
    val id = InstanceId(name)
    val clock = TestTimeSource()
    private val metrics = metricsOf()
    val startId = startIdOf(startMillis, Random(SEED))
    private val config = PeerConfig(
        PeerIdentity(id, DataCentreId("dc1"), startId),
        key,
        addresses = { peer -> ports[peer]?.let { "127.0.0.1:$it" } },
        limits,
        tls,
        backoffSeed = SEED.toLong(),
    )
    val connections = StallableConnections(connectionsOf(config))
    val transport = SocketPeerTransport(config, metrics, clock, EventLog, connections)
    val handled = CopyOnWriteArrayList<String>()

    /** Listens and answers calls of the type `echo` with their payload. */
    suspend fun listen(): TestPeer {
        transport.register("echo") { received ->
            handled += received.sender.instance.value
            PeerMessage("echoed", received.message.payload)
        }
        ports[id] = transport.listen("127.0.0.1", 0)
        return this
    }

    suspend fun call(to: InstanceId, type: String = "echo", payload: ByteArray = byteArrayOf(1, 2, 3)) =
        transport.call(to, PeerMessage(type, payload), CALL_TIMEOUT_MILLIS)

    fun count(event: PeerEvent): Int = metric("pistachiopass_peer_events_total{event=\"${event.name.lowercase()}\"} ")

    fun echoesSent(): Int = metric("pistachiopass_peer_messages_total{direction=\"sent\",kind=\"echo\"} ")

    private fun metric(line: String): Int =
        metrics.scrape().lines().find { it.startsWith(line) }?.removePrefix(line)?.toDouble()?.toInt() ?: 0

    override fun close() = transport.close()
}

/** Connections whose writes suspend after [stall], like those to a peer that stops reading. */
internal class StallableConnections(private val inner: ByteConnections) : ByteConnections by inner {
    @Volatile
    private var stalled: Boolean = false

    fun stall() {
        stalled = true
    }

    override suspend fun connect(host: String, port: Int): ByteConnection = Stallable(inner.connect(host, port))

    private inner class Stallable(private val connection: ByteConnection) : ByteConnection by connection {
        private val closed = CompletableDeferred<Unit>()

        override suspend fun write(bytes: ByteArray) {
            if (stalled) {
                closed.await()
                throw IOException("connection closed")
            }
            connection.write(bytes)
        }

        override fun close() {
            closed.complete(Unit)
            connection.close()
        }
    }
}

/** Forwards bytes between its port and [targetPort]; [transform] may alter each chunk, or drop it by null. */
internal class TamperingProxy(private val targetPort: Int) : Closeable {
    private val connections = KtorConnections()
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    val sentByClient: MutableMap<Int, List<Byte>> = ConcurrentHashMap()

    @Volatile
    var transform: (connection: Int, chunk: ByteArray) -> ByteArray? = { _, chunk -> chunk }

    suspend fun listen(): Int {
        val listener = connections.listen("127.0.0.1", 0)
        scope.launch {
            var number = 0
            while (true) {
                val clientSide = listener.accept()
                val serverSide = connections.connect("127.0.0.1", targetPort)
                val connection = number++
                launch {
                    pump(clientSide, serverSide) {
                        sentByClient.merge(connection, it.toList(), List<Byte>::plus)
                        transform(connection, it)
                    }
                }
                launch { pump(serverSide, clientSide) { transform(connection, it) } }
            }
        }
        return listener.port
    }

    private suspend fun pump(from: ByteConnection, to: ByteConnection, change: (ByteArray) -> ByteArray?) {
        val buffer = ByteArray(4096)
        try {
            while (true) {
                val count = from.read(buffer, 0, buffer.size)
                if (count < 0) break
                change(buffer.copyOf(count))?.let { to.write(it) }
            }
        } catch (_: IOException) {
            // Both connections are closed below, which ends the other direction too.
        }
        from.close()
        to.close()
    }

    override fun close() {
        scope.cancel()
        connections.close()
    }
}

/** Accepts one connection over [connections], authenticates it, runs [then] and closes; returns the port. */
internal suspend fun fakeServer(
    connections: ByteConnections,
    identity: PeerIdentity,
    then: suspend (AuthenticatedChannel) -> Unit,
): Int {
    val listener = connections.listen("127.0.0.1", 0)
    CoroutineScope(Dispatchers.Default).launch {
        val channel = checkNotNull(
            Handshake(identity, SHARED_KEY, IncarnationRegistry()).accept(listener.accept()).get(),
        )
        then(channel)
        channel.connection.close()
        listener.close()
    }
    return listener.port
}

/** Checks that a peer that stops reading fills one bounded queue, and that an unwritten call is not run. */
internal suspend fun checkStalledPeer(connections: ByteConnections, tls: SSLContext? = null): Unit = coroutineScope {
    val ports = HashMap<InstanceId, Int>()
    val limits = TEST_LIMITS.copy(frameBytes = MEBIBYTE_BYTES, sendQueueBytes = 2L * MEBIBYTE_BYTES)
    val stalled = PeerIdentity(InstanceId("s"), DataCentreId("dc1"), startIdOf(wallClockMillis = 1, Random(SEED)))
    val isChecked = CompletableDeferred<Unit>()
    ports[stalled.instance] = fakeServer(connections, stalled) { isChecked.await() }
    TestPeer("c", ports, limits = limits, tls = tls).use { client ->
        val large = PeerMessage("echo", ByteArray(MEBIBYTE_BYTES - 100))
        assertEquals(SendOutcome.QUEUED, client.transport.send(stalled.instance, large))
        client.connections.stall()
        awaitUntil { client.transport.send(stalled.instance, large) == SendOutcome.QUEUE_FULL }
        val notices = client.echoesSent()
        val queued = async { client.call(stalled.instance) }
        awaitUntil { client.echoesSent() > notices }
        client.clock += 6.seconds
        val failure = queued.await().getError()
        assertEquals(PeerFailureCode.CONNECTION_LOST to Verdict.NOT_RUN, failure?.code to failure?.verdict)
        awaitUntil { client.count(PeerEvent.DISCONNECTED) == 1 }
    }
    isChecked.complete(Unit)
}

/** Waits until [condition] holds; fails after one minute. */
internal suspend fun awaitUntil(condition: suspend () -> Boolean) = withTimeout(AWAIT_LIMIT_MILLIS) {
    while (!condition()) delay(5)
}

internal val SHARED_KEY = ByteArray(MIN_KEY_BYTES) { 7 }

/** Limits whose real-time bounds even a slow machine does not reach; read-idle time is that of the test's clock. */
internal val TEST_LIMITS =
    PeerLimits(keepAliveMillis = 40, connectTimeoutMillis = 60_000, handshakeTimeoutMillis = 60_000)
internal const val CALL_TIMEOUT_MILLIS = 60_000L
private const val AWAIT_LIMIT_MILLIS = 60_000L
private const val SEED = 99
private const val MEBIBYTE_BYTES = 1024 * 1024
