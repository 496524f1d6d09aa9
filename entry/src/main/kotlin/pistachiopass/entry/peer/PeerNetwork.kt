/**
 * Communication of an instance with the other instances: transport, peer addresses and heartbeats.
 *
 * Addresses come from the published instance list and, for peers that it does not name or before there is one, from the
 * settings. Heartbeats are sent only within a data centre, since their number would otherwise grow with the square of
 * the number of instances.
 */
package pistachiopass.entry.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import pistachiopass.entry.HostPort
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.tls.tlsMaterialOf
import pistachiopass.membership.PeerReachability
import pistachiopass.membership.Reachability
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.StartId
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessageType
import pistachiopass.peer.PeerTransport
import pistachiopass.peer.peerMessageTypeOf
import pistachiopass.peer.register
import pistachiopass.status.PeerStatus
import java.util.Base64

/** Tells the receiver that the sender is alive. */
@Serializable
public class Heartbeat

/** Message type of [Heartbeat]. */
public val HEARTBEAT: PeerMessageType<Heartbeat> = peerMessageTypeOf("heartbeat")

/** Returns the network of the instance with these [settings]; [instanceList] returns the list in force, if any. */
public fun peerNetworkOf(
    settings: Settings,
    startId: StartId,
    metrics: Metrics,
    instanceList: () -> InstanceList?,
): PeerNetwork {
    val self = PeerIdentity(settings.instance, settings.dataCentre, startId)
    val bootstrap = settings.peers.map(::bootstrapPeerOf).filter { it.instance != self.instance }
    val addresses = PeerAddresses { peer ->
        instanceList()?.instances?.find { it.id == peer }?.peerAddress
            ?: bootstrap.find { it.instance == peer }?.address
    }
    val key = Base64.getDecoder().decode(settings.sharedKey)
    val config = PeerConfig(self, key, addresses, tls = settings.tls?.let { tlsMaterialOf(it).sslContext() })
    val transport = socketPeerTransportOf(config, metrics)
    return PeerNetwork(transport, HostPort(settings.peerAddress), bootstrap, instanceList)
}

/** The transport to the other instances, and their reachability according to their heartbeats. */
public class PeerNetwork internal constructor(
    private val sockets: SocketPeerTransport,
    private val address: HostPort,
    bootstrap: List<BootstrapPeer>,
    private val instanceList: () -> InstanceList?,
) : AutoCloseable {
    /** The transport; controllers register their handlers before [start]. */
    public val transport: PeerTransport get() = sockets

    /** The reachability of the instances of the same data centre, according to their heartbeats. */
    public val reachability: Reachability = Reachability(SUSPECT_AFTER_MILLIS)

    /** The peers named in the settings, without this instance. */
    public val bootstrapPeers: Set<InstanceId> = bootstrap.mapTo(LinkedHashSet()) { it.instance }

    init {
        transport.register(HEARTBEAT) { sender, _ -> reachability.recordHeartbeat(sender.instance) }
    }

    /** Accepts connections of peers and starts the heartbeats, which end with [scope]. */
    public suspend fun start(scope: CoroutineScope) {
        sockets.listen(address.host, address.port)
        scope.launch {
            while (isActive) {
                instanceList()?.let { sendHeartbeats(scope, it) }
                delay(HEARTBEAT_INTERVAL_MILLIS)
            }
        }
    }

    /** Returns the reachability of each published instance of the same data centre. */
    public fun statuses(): List<PeerStatus> = dataCentrePeers(instanceList()).map { peer ->
        val isReachable = reachability.statusOf(peer.id) == PeerReachability.REACHABLE
        PeerStatus(peer.id, isReachable, reachability.silenceMillisOrNull(peer.id))
    }

    /** Closes all connections. */
    override fun close(): Unit = sockets.close()

    private fun sendHeartbeats(scope: CoroutineScope, list: InstanceList) {
        val known = list.instances.mapTo(HashSet(bootstrapPeers)) { it.id }
        sockets.retain(known)
        reachability.retainOnly(known)
        val heartbeat = HEARTBEAT.encode(Heartbeat())
        dataCentrePeers(list).forEach { peer -> scope.launch { transport.send(peer.id, heartbeat) } }
    }

    private fun dataCentrePeers(list: InstanceList?): List<Instance> {
        val self = transport.self
        return list?.instances.orEmpty().filter { it.dataCentre == self.dataCentre && it.id != self.instance }
    }
}

/** A peer that the settings name, and its address. */
internal data class BootstrapPeer(val instance: InstanceId, val address: String)

private fun bootstrapPeerOf(text: String): BootstrapPeer =
    BootstrapPeer(InstanceId(text.substringBefore('@')), text.substringAfter('@'))

private const val HEARTBEAT_INTERVAL_MILLIS: Long = 1_000
private const val SUSPECT_AFTER_MILLIS: Long = 3_000
