/** Makes the transport of an instance from its settings and the published instance list. */
package pistachiopass.entry.peer

import pistachiopass.entry.metrics.Metrics
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.tls.tlsMaterialOf
import pistachiopass.model.Instance
import pistachiopass.model.StartId
import pistachiopass.peer.PeerIdentity
import java.util.Base64

/** Returns the transport of the life [startId] of the instance, which finds its peers in [instances]. */
public fun peerTransportOf(
    settings: Settings,
    startId: StartId,
    metrics: Metrics,
    instances: () -> List<Instance>,
): SocketPeerTransport = socketPeerTransportOf(
    PeerConfig(
        self = PeerIdentity(settings.instance, settings.dataCentre, startId),
        sharedKey = Base64.getDecoder().decode(settings.sharedKey),
        addresses = { peer -> instances().find { it.id == peer }?.peerAddress },
        tls = settings.tls?.let { tlsMaterialOf(it).sslContext() },
    ),
    metrics,
)
