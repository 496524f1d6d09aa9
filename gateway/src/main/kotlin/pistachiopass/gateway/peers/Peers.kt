/**
 * Communication between instances by UDP datagrams: gossip about the members, updates of placed work, and queries for
 * the freshness of known state.
 *
 * No correctness depends on the arrival of a datagram. A freshness reply counts from the time of its query, so a reply
 * that was delayed in the network or read late after a pause of the process never makes state look fresher than it is.
 */
package pistachiopass.gateway.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.gateway.http.awaitChannel
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.KnownState
import java.net.InetSocketAddress

/** Exchanges messages with the other instances. Confined to the event loop. */
internal class Peers(
    private val own: Address,
    private val membership: Membership,
    private val knownState: KnownState,
    private val load: FleetLoad,
    private val clock: AgeClock,
    private val scope: CoroutineScope,
) {
    private var channel: Channel? = null
    private var lastNonce = 0L
    private val sentMillisByNonce = LinkedHashMap<Long, Long>()
    private val unsentEstimates = ArrayList<EncodedEstimate>()
    private var loggedPeers: Set<String> = emptySet()
    private var malformedCount = 0

    /** Binds the UDP port and starts the periodic messages. */
    suspend fun start(eventLoop: EventLoop) {
        channel = Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel::class.java)
            .handler(Inbound())
            .bind(own.host, own.port)
            .awaitChannel()
        scope.launch { gossip() }
        scope.launch { queryFreshness() }
    }

    /** Queues updates of placed work for the other instances; they are sent in batches a few milliseconds later. */
    fun placed(estimates: List<WorkEstimate>) {
        val isFirst = unsentEstimates.isEmpty()
        estimates.mapTo(unsentEstimates, ::encodedEstimateOf)
        if (isFirst) scope.launch { sendUpdates() }
    }

    private suspend fun gossip() {
        while (true) {
            val members = membership.live().entries.shuffled().take(GOSSIP_MEMBERS_MAX)
            send(membership.gossipTargets(), MembershipGossip(members.associate { it.toPair() }))
            logChanges()
            delay(GOSSIP_INTERVAL_MILLIS)
        }
    }

    private suspend fun sendUpdates() {
        delay(UPDATE_DELAY_MILLIS)
        val hosts = membership.live().keys
        updatesOf(unsentEstimates).forEach { send(hosts, it) }
        unsentEstimates.clear()
    }

    /** Asks other instances for confirmation while the store does not confirm the known state. */
    private suspend fun queryFreshness() {
        while (true) {
            delay(FRESHNESS_CHECK_MILLIS)
            if (knownState.table == null || knownState.freshness.isWithin(FRESHNESS_QUERY_AGE_MILLIS)) continue
            sentMillisByNonce[++lastNonce] = clock.nowMillis()
            while (sentMillisByNonce.size > OPEN_QUERIES_MAX) sentMillisByNonce.remove(sentMillisByNonce.keys.first())
            send(membership.live().keys.shuffled().take(FRESHNESS_QUERY_PEERS).toSet(), FreshnessQuery(lastNonce))
        }
    }

    private fun logChanges() {
        val live = membership.live().keys
        (live - loggedPeers).forEach {
            EventLog.log(Event.PEER_CONNECTED, tokenField("peer", it), field("live", live.size))
        }
        (loggedPeers - live).forEach { EventLog.log(Event.PEER_LOST, tokenField("peer", it), field("live", live.size)) }
        loggedPeers = live
        if (malformedCount > 0) {
            EventLog.log(Event.PEER_REFUSED, tokenField("reason", "malformed"), field("count", malformedCount))
        }
        malformedCount = 0
    }

    private fun send(hosts: Set<String>, message: PeerMessage) {
        val target = channel ?: return
        val bytes = encode(message)
        hosts.forEach { host ->
            target.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(host, own.port)))
        }
    }

    private fun receive(sender: String, message: PeerMessage) {
        membership.recordSeen(sender, ageMillis = 0)
        when (message) {
            is MembershipGossip ->
                message.heardAgeMillis.forEach { (host, ageMillis) -> membership.recordSeen(host, ageMillis) }
            is PlacedWorkUpdate -> message.works.forEach { load.add(it.toEstimate(), isOwn = false) }
            is FreshnessQuery -> onFreshnessQuery(sender, message)
            is FreshnessReply -> onFreshnessReply(message)
        }
    }

    private fun onFreshnessQuery(sender: String, query: FreshnessQuery) {
        val ageMillis = knownState.freshness.storeAgeMillisOrNull() ?: return
        send(setOf(sender), FreshnessReply(query.nonce, knownState.operatorRevision.value, ageMillis))
    }

    private fun onFreshnessReply(reply: FreshnessReply) {
        val requestedAtMillis = sentMillisByNonce[reply.nonce] ?: return
        if (reply.operatorRevision == knownState.operatorRevision.value) {
            knownState.freshness.confirmedByPeer(requestedAtMillis - reply.ageMillis)
        }
    }

    private inner class Inbound : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val sender = packet.sender().address.hostAddress
            val message = decodeOrNull(ByteBufUtil.getBytes(packet.content()))
            if (message == null) malformedCount++ else receive(sender, message)
        }

        @Deprecated("inherited")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            EventLog.log(Event.PEER_UNREACHABLE, field("error", cause))
        }
    }
}

private const val GOSSIP_INTERVAL_MILLIS: Long = 500
private const val GOSSIP_MEMBERS_MAX: Int = 24

/** Time for which updates of placed work are batched; shorter than the time that a request takes to start. */
private const val UPDATE_DELAY_MILLIS: Long = 10
private const val FRESHNESS_CHECK_MILLIS: Long = 300

/** Age of the known state above which other instances are queried; exceeds its age after a watch without a change. */
private const val FRESHNESS_QUERY_AGE_MILLIS: Long = 1_500
private const val FRESHNESS_QUERY_PEERS: Int = 3
private const val OPEN_QUERIES_MAX: Int = 32
