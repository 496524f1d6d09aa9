/** Opens authenticated connections to peers at their published addresses. */
package pistachiopass.entry.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.logging.field
import pistachiopass.model.InstanceId
import java.io.IOException
import java.nio.channels.UnresolvedAddressException

/** Looks up the addresses of peers, normally in the published instance list. */
public fun interface PeerAddresses {
    /** Returns host and port of [peer], such as `127.0.0.1:7001`, or null when they are not known. */
    public fun addressOrNull(peer: InstanceId): String?
}

/** Connects to peers over [connections]; the connect timeout bounds each attempt, including the handshake. */
internal class PeerConnector(
    private val connections: ByteConnections,
    private val handshake: Handshake,
    private val addresses: PeerAddresses,
    private val limits: PeerLimits,
    private val events: PeerEvents,
) {
    /** Returns an authenticated connection to [peer]; logs the cause and returns null when there is none. */
    suspend fun openOrNull(peer: InstanceId): AuthenticatedChannel? {
        var opened: AuthenticatedChannel? = null
        val attempt = withTimeoutOrNull(limits.connectTimeoutMillis) { opened = connectOrNull(peer) }
        if (attempt == null && opened == null) events.unreachable(peer, field("cause", FrameError.SILENT))
        return opened
    }

    private suspend fun connectOrNull(peer: InstanceId): AuthenticatedChannel? {
        val address = addresses.addressOrNull(peer)?.let(::hostAndPortOrNull)
        return try {
            if (address == null) throw IOException("no valid address known for $peer")
            authenticateOrNull(connections.connect(address.first, address.second), peer)
        } catch (e: IOException) {
            events.unreachable(peer, field("cause", e))
            null
        } catch (e: UnresolvedAddressException) {
            events.unreachable(peer, field("cause", e))
            null
        }
    }

    private suspend fun authenticateOrNull(connection: ByteConnection, peer: InstanceId): AuthenticatedChannel? {
        var channel: AuthenticatedChannel? = null
        try {
            channel = handshake.connect(connection, peer)
                .onFailure { error -> events.unreachable(peer, field("cause", error)) }
                .get()
        } finally {
            if (channel == null) connection.close()
        }
        return channel
    }
}

private fun hostAndPortOrNull(address: String): Pair<String, Int>? {
    val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
    val port = address.substringAfterLast(':').toIntOrNull()
    return port?.takeIf { it in 1..MAX_PORT }?.let { host to it }
}

private const val MAX_PORT: Int = 65_535
