/** Log lines and counters of the peer protocol. */
package pistachiopass.entry.peer

import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventField
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.entry.metrics.Direction
import pistachiopass.entry.metrics.PeerEvent
import pistachiopass.entry.metrics.PeerMetrics
import pistachiopass.model.InstanceId
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.PeerMessage

/** Counts events in [metrics] and logs those of connections and of failed handlers to [log]. */
internal class PeerEvents(private val metrics: PeerMetrics, private val log: EventLog) {
    /** Counts [event] without a log line. */
    fun count(event: PeerEvent) = metrics.countEvent(event)

    /** Counts a message that was queued for a peer or passed to a handler. */
    fun countMessage(direction: Direction, message: PeerMessage) = metrics.countMessage(direction, message.typeName)

    /** Records that this instance listens on [port] and that [backoffSeed] seeds the jitter of reconnects. */
    fun listening(self: PeerIdentity, port: Int, backoffSeed: Long) {
        log.log(
            Event.PEER_LISTENING,
            field("instance", self.instance),
            field("startId", self.startId),
            field("port", port),
            field("backoffSeed", backoffSeed),
        )
    }

    /** Records an authenticated connection, opened ([PeerEvent.CONNECTED]) or accepted ([PeerEvent.ACCEPTED]). */
    fun connected(event: PeerEvent, peer: PeerIdentity) {
        count(event)
        log.log(Event.PEER_CONNECTED, peerField(peer.instance), field("startId", peer.startId), field("side", event))
    }

    /** Records the end of a connection that was recorded with [event]. */
    fun lost(event: PeerEvent, peer: PeerIdentity, cause: FrameError) {
        count(PeerEvent.DISCONNECTED)
        log.log(Event.PEER_LOST, peerField(peer.instance), field("side", event), field("cause", cause))
    }

    /** Records a failed connection attempt. */
    fun unreachable(peer: InstanceId, cause: EventField) {
        count(PeerEvent.CONNECT_FAILED)
        log.log(Event.PEER_UNREACHABLE, peerField(peer), cause)
    }

    /** Records an incoming connection that was refused. */
    fun refused(cause: HandshakeError) {
        count(PeerEvent.REFUSED)
        log.log(Event.PEER_REFUSED, field("cause", cause))
    }

    fun handlerFailed(peer: InstanceId, message: PeerMessage, cause: Throwable) {
        count(PeerEvent.HANDLER_FAILED)
        log.log(Event.PEER_HANDLER_FAILED, peerField(peer), tokenField("kind", message.typeName), field("cause", cause))
    }

    private fun peerField(id: InstanceId): EventField = field("peer", id)
}
