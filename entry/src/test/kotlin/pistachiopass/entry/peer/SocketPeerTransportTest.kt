/** Tests the transport over loopback sockets: authentication of peers and the verdicts of failed calls. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.model.InstanceId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import pistachiopass.peer.IncarnationRegistry
import pistachiopass.peer.PeerFailureCode
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.SendOutcome
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SocketPeerTransportTest {
    private val ports = HashMap<InstanceId, Int>()
    private val open = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll() = open.forEach(AutoCloseable::close)

    private fun <T : AutoCloseable> T.tracked(): T = also(open::add)

    private suspend fun server(limits: PeerLimits = TEST_LIMITS) =
        TestPeer("s", ports, limits = limits).tracked().listen()

    private fun client(limits: PeerLimits = TEST_LIMITS) =
        TestPeer("c", ports, limits = limits).tracked()

    private suspend fun proxyTo(server: TestPeer): TamperingProxy {
        val proxy = TamperingProxy(checkNotNull(ports[server.id])).tracked()
        ports[server.id] = proxy.listen()
        return proxy
    }

    @Test
    fun `many concurrent calls share one connection in each direction`() = runBlocking {
        val (a, b) = listOf("a", "b").map { TestPeer(it, ports).tracked().listen() }
        for ((from, to) in listOf(a to b, b to a)) {
            val arrived = AtomicInteger()
            val all = CompletableDeferred<Unit>()
            to.transport.register("wait") { received ->
                assertEquals(from.transport.self, received.sender)
                if (arrived.incrementAndGet() == CALLS) all.complete(Unit)
                all.await()
                PeerMessage("done", received.message.payload)
            }
            val answers = List(CALLS) { number ->
                async { from.transport.call(to.id, PeerMessage("wait", "$number".toByteArray()), CALL_TIMEOUT_MILLIS) }
            }.awaitAll()
            assertEquals(List(CALLS) { "$it" }, answers.map { it.get()?.payload?.decodeToString() })
            assertEquals(1, from.count(PeerEvent.CONNECTED))
            val large = Random(1).nextBytes(LARGE_BYTES)
            assertContentEquals(large, from.call(to.id, payload = large).get()?.payload)
        }
    }

    @Test
    fun `a failed call says whether it may have run`() = runBlocking {
        val server = server(TEST_LIMITS.copy(frameBytes = 1_000)).apply {
            transport.register("throws") { error("handler failure caused by the test") }
            transport.register("null") { null }
            transport.register("hangs") { awaitCancellation() }
            transport.register("long") { PeerMessage("long", ByteArray(2_000)) }
        }
        val client = client(TEST_LIMITS.copy(frameBytes = 1_000))
        ports[InstanceId("closed")] = KtorConnections().use { it.listen("127.0.0.1", 0).use(ByteListener::port) }
        ports[InstanceId("other")] = checkNotNull(ports[server.id])
        val closes = TestPeer("closes", ports).tracked().transport.self
        ports[closes.instance] = fakeServer(KtorConnections().tracked(), closes) { channel ->
            FrameReader(channel.connection).read(limitBytes = 1_000)
        }
        val cases = listOf(
            Case("unknown", "echo", PeerFailureCode.UNREACHABLE, Verdict.NOT_RUN),
            Case("closed", "echo", PeerFailureCode.UNREACHABLE, Verdict.NOT_RUN),
            Case("other", "echo", PeerFailureCode.UNREACHABLE, Verdict.NOT_RUN),
            Case("closes", "echo", PeerFailureCode.CONNECTION_LOST, Verdict.MAY_HAVE_RUN),
            Case("s", "absent", PeerFailureCode.NO_HANDLER, Verdict.NOT_RUN),
            Case("s", "throws", PeerFailureCode.HANDLER_FAILED, Verdict.MAY_HAVE_RUN),
            Case("s", "null", PeerFailureCode.HANDLER_FAILED, Verdict.MAY_HAVE_RUN),
            Case("s", "long", PeerFailureCode.HANDLER_FAILED, Verdict.MAY_HAVE_RUN),
            Case("s", "x".repeat(1_000), PeerFailureCode.TOO_LARGE, Verdict.NOT_RUN),
        )
        for (case in cases) {
            val failure = client.call(InstanceId(case.to), case.type).getError()
            assertEquals(case.code to case.verdict, failure?.code to failure?.verdict, "$case")
        }
        val otherIncarnation =
            client.transport.call(server.id, ECHO, CALL_TIMEOUT_MILLIS, StartId("earlier")).getError()
        assertEquals(PeerFailureCode.OTHER_LIFE to Verdict.NOT_RUN, otherIncarnation?.code to otherIncarnation?.verdict)
        awaitUntil {
            val hangs = PeerMessage("hangs", ByteArray(0))
            val failure = client.transport.call(server.id, hangs, timeoutMillis = 200).getError()
            failure?.code == PeerFailureCode.TIMEOUT && failure.verdict == Verdict.MAY_HAVE_RUN
        }
        assertEquals(SendOutcome.QUEUED, client.transport.send(server.id, ECHO, server.startId))
        assertEquals(SendOutcome.OTHER_LIFE, client.transport.send(server.id, ECHO, StartId("earlier")))
        awaitUntil { server.handled.size == 1 }
    }

    @Test
    fun `a call beyond the handler limit is refused as not run`() = runBlocking {
        val server = server(TEST_LIMITS.copy(handlers = 0))
        val failure = client().call(server.id).getError()
        assertEquals(PeerFailureCode.OVERLOADED to Verdict.NOT_RUN, failure?.code to failure?.verdict)
        assertEquals(1, server.count(PeerEvent.DROPPED_OVERLOADED))
    }

    @Test
    fun `a silent connection is closed and replaced by a new one`() = runBlocking {
        val server = server()
        val proxy = proxyTo(server)
        val client = client()
        assertTrue(client.call(server.id).isOk)
        val dropped = AtomicInteger()
        proxy.transform = { connection, chunk -> chunk.takeIf { connection > 0 }.also { dropped.incrementAndGet() } }
        val pendingCall = async { client.call(server.id) }
        awaitUntil { dropped.get() > 0 }
        client.clock += 6.seconds
        val failure = pendingCall.await().getError()
        assertEquals(PeerFailureCode.CONNECTION_LOST to Verdict.MAY_HAVE_RUN, failure?.code to failure?.verdict)
        assertTrue(client.call(server.id).isOk)
        assertEquals(2, client.count(PeerEvent.CONNECTED))
        assertEquals(2, server.handled.size)
    }

    @Test
    fun `a peer that stops reading fills a bounded queue and an unwritten call is not run`() = runBlocking {
        KtorConnections().use { checkStalledPeer(it) }
    }

    @Test
    fun `an altered frame closes the connection and is not handled`() = runBlocking {
        val server = server()
        val proxy = proxyTo(server)
        val client = client()
        assertTrue(client.call(server.id).isOk)
        proxy.transform = { _, chunk -> chunk.also { it[it.size - 1] = (it.last() + 1).toByte() } }
        val failure = client.call(server.id).getError()
        assertEquals(PeerFailureCode.CONNECTION_LOST to Verdict.MAY_HAVE_RUN, failure?.code to failure?.verdict)
        assertEquals(1, server.handled.size)
    }

    @Test
    fun `peers without the key are refused before any message is handled`() = runBlocking {
        val server = server()
        val proxy = proxyTo(server)
        assertTrue(client().call(server.id).isOk)
        val peerWithOtherKey = TestPeer("x", ports, key = ByteArray(MIN_KEY_BYTES) { 8 }).tracked()
        val failure = peerWithOtherKey.call(server.id).getError()
        assertEquals(PeerFailureCode.UNREACHABLE to Verdict.NOT_RUN, failure?.code to failure?.verdict)
        val recorded = checkNotNull(proxy.sentByClient[0]).toByteArray()
        val helloBytes = LENGTH_BYTES + ByteBuffer.wrap(recorded).getInt()
        val invalidHandshakes = mapOf(
            "replay" to recorded,
            "hello with a wrong proof" to recorded.copyOf(helloBytes) + lengthPrefixed(ByteArray(MAC_BYTES)),
            "long hello" to lengthPrefixed(ByteArray(HANDSHAKE_FRAME_BYTES + 1)),
            "noise" to Random(1).nextBytes(500),
        )
        for ((name, bytes) in invalidHandshakes) {
            val refused = server.count(PeerEvent.REFUSED)
            KtorConnections().use { connections ->
                connections.connect("127.0.0.1", checkNotNull(ports[server.id])).use { connection ->
                    connection.write(bytes)
                    awaitUntil { server.count(PeerEvent.REFUSED) > refused }
                }
            }
            assertEquals(listOf("c"), server.handled, name)
        }
    }

    @Test
    fun `a call to an earlier incarnation of the server is refused by the server`() = runBlocking {
        val server = server()
        val caller = client().transport.self
        KtorConnections().use { connections ->
            val connection = connections.connect("127.0.0.1", checkNotNull(ports[server.id]))
            val handshake = Handshake(caller, SHARED_KEY, IncarnationRegistry())
            val channel = checkNotNull(handshake.connect(connection, server.id).get())
            for ((callId, startId) in listOf(StartId("earlier"), server.startId).withIndex()) {
                val call = Frame.Call(callId.toLong(), "echo", ByteArray(1), startId)
                connection.write(channel.signer.sign(encodeFrame(call)))
            }
            val reader = FrameReader(connection)
            val frames = ArrayList<Frame>()
            while (frames.size < 2) {
                val signed = checkNotNull(reader.read(limitBytes = 1_000).get())
                val frame = channel.verifier.verifyOrNull(signed)?.let(::decodeFrameOrNull)
                if (frame != Frame.KeepAlive) frames += checkNotNull(frame)
            }
            val refusal = frames.filterIsInstance<Frame.Refusal>().single()
            assertEquals(0L to PeerFailureCode.OTHER_LIFE, refusal.callId to refusal.code)
            assertEquals(1L, frames.filterIsInstance<Frame.Response>().single().callId)
        }
        assertEquals(1, server.count(PeerEvent.DROPPED_OTHER_LIFE))
        assertEquals(listOf("c"), server.handled)
    }

    @Test
    fun `an earlier incarnation is refused once a newer one was seen`() = runBlocking {
        val server = server()
        val earlier = TestPeer("c", ports, startMillis = 1).tracked()
        val later = TestPeer("c", ports, startMillis = 2).tracked()
        assertTrue(earlier.call(server.id).isOk)
        assertTrue(later.call(server.id).isOk)
        awaitUntil { earlier.call(server.id).getError()?.code == PeerFailureCode.UNREACHABLE }
        assertTrue(server.count(PeerEvent.REFUSED) > 0)
        assertEquals(2, server.handled.size)
        assertTrue(later.call(server.id).isOk)
    }

    private data class Case(val to: String, val type: String, val code: PeerFailureCode, val verdict: Verdict)
}

private const val CALLS = 200
private const val LARGE_BYTES = 4_000_000
private val ECHO = PeerMessage("echo", ByteArray(1))
