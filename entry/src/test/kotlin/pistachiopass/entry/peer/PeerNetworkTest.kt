/** Tests where an instance takes the addresses of its peers from and which instances receive its heartbeats. */
package pistachiopass.entry.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import pistachiopass.entry.metrics.metricsOf
import pistachiopass.entry.settings.Settings
import pistachiopass.membership.PeerReachability
import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.peer.PeerMessage
import pistachiopass.peer.SendOutcome
import pistachiopass.peer.startIdOf
import java.net.ServerSocket
import java.util.Base64
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerNetworkTest {
    private val ports = List(3) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
    private val scope = CoroutineScope(Dispatchers.Default + Job())

    @Volatile
    private var published: InstanceList? = null

    @Test
    fun `bootstrap peers are reached without an instance list and heartbeats stay in the data centre`() {
        val near = networkOf(0, "dc1", peers = listOf("i1@127.0.0.1:${ports[1]}", "i0@127.0.0.1:${ports[0]}"))
        val neighbour = networkOf(1, "dc1")
        val far = networkOf(2, "dc2")
        val networks = listOf(near, neighbour, far)
        runBlocking {
            networks.forEach { it.start(scope) }
            assertEquals(setOf(InstanceId("i1")), near.bootstrapPeers)
            val message = PeerMessage("heartbeat", HEARTBEAT.encode(Heartbeat()).payload)
            assertEquals(SendOutcome.QUEUED, near.transport.send(InstanceId("i1"), message))
            assertEquals(SendOutcome.UNREACHABLE, near.transport.send(InstanceId("i2"), message))
            published = InstanceList(listOf(instance(0, "dc1"), instance(1, "dc1"), instance(2, "dc2")))
            awaitUntil { near.statuses().any { it.reachable } && neighbour.statuses().any { it.reachable } }
        }
        assertEquals(listOf(InstanceId("i1")), near.statuses().map { it.instance })
        assertEquals(emptyList(), far.statuses())
        assertEquals(PeerReachability.UNKNOWN, far.reachability.statusOf(InstanceId("i0")))
        networks.forEach { it.close() }
        scope.cancel()
    }

    private fun networkOf(index: Int, dataCentre: String, peers: List<String> = emptyList()): PeerNetwork {
        val settings = Settings(
            instance = InstanceId("i$index"),
            dataCentre = DataCentreId(dataCentre),
            httpAddress = "127.0.0.1:0",
            peerAddress = "127.0.0.1:${ports[index]}",
            adminAddress = "127.0.0.1:0",
            platformAddress = "127.0.0.1:1",
            sharedKey = Base64.getEncoder().encodeToString(SHARED_KEY),
            peers = peers,
        )
        return peerNetworkOf(settings, startIdOf(wallClockMillis = 1, Random(index)), metricsOf()) { published }
    }

    private fun instance(index: Int, dataCentre: String) =
        Instance(InstanceId("i$index"), DataCentreId(dataCentre), "127.0.0.1:1", "127.0.0.1:${ports[index]}")
}
