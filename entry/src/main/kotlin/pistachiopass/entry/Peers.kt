/** The transport between instances, with the addresses of the published instance list. */
package pistachiopass.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.peer.PeerConfig
import pistachiopass.entry.peer.SocketPeerTransport
import pistachiopass.entry.peer.socketPeerTransportOf
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.tls.tlsMaterialOf
import pistachiopass.model.Instance
import pistachiopass.model.StartId
import pistachiopass.peer.PeerIdentity
import pistachiopass.tables.TablesState
import java.util.Base64

/** Returns the transport of this instance, which does not accept peers yet. */
internal fun peerTransportOf(
    settings: Settings,
    startId: StartId,
    tables: StateFlow<TablesState>,
    metrics: Metrics,
): SocketPeerTransport = socketPeerTransportOf(
    PeerConfig(
        self = PeerIdentity(settings.instance, settings.dataCentre, startId),
        sharedKey = Base64.getDecoder().decode(settings.sharedKey),
        addresses = { peer -> tables.value.publishedInstances().firstOrNull { it.id == peer }?.peerAddress },
        tls = settings.tls?.let { tlsMaterialOf(it).sslContext() },
    ),
    metrics,
)

/** Accepts peers at [address] and drops the connections to those that are no longer published. */
internal suspend fun SocketPeerTransport.listenAt(
    address: String,
    tables: StateFlow<TablesState>,
    scope: CoroutineScope,
) {
    val hostPort = HostPort(address)
    listen(hostPort.host, hostPort.port)
    scope.launch {
        tables.collect { state -> retain(state.publishedInstances().mapTo(HashSet()) { it.id }) }
    }
}

private fun TablesState.publishedInstances(): List<Instance> = instances?.value?.instances.orEmpty()
