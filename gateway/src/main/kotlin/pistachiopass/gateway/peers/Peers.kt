/**
 * Communication between instances: membership, the published state and updates of placed work.
 *
 * No correctness depends on the arrival of a datagram.
 */
package pistachiopass.gateway.peers

import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.estimate.EstimateScope
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.monotonicMillis
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.repeatUntilCancelled
import pistachiopass.gateway.state.AgeClock
import pistachiopass.gateway.state.PublishedState
import pistachiopass.gateway.state.StateWatch
import pistachiopass.membership.GossipMembership
import pistachiopass.membership.MemberHost
import pistachiopass.membership.MembershipDatagram
import pistachiopass.published.FeedSubscription
import pistachiopass.published.FeedUpdate
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.shortage.WorkspaceShares

/** The state of this instance that is exchanged with others. */
internal class PeerContext(
    val membership: GossipMembership,
    val state: PublishedState,
    val watch: StateWatch,
    val states: PeerStateClient,
    val load: FleetLoad,
    val quarantine: PartQuarantine,
)

/** What is exchanged with others about load: the speeds of endpoints and the shares of workspaces. */
internal class PeerScopes(val estimates: EstimateScope<MemberHost>, val shares: WorkspaceShares)

/** Exchanges messages with the other instances, whose control port is that of [control]. Confined to the event loop. */
internal class Peers(
    private val control: Address,
    peerPort: Int,
    private val context: PeerContext,
    scopes: PeerScopes,
    clock: AgeClock,
    private val scope: CoroutineScope,
) : StateLinks {
    private val membership = context.membership

    /** What this instance sends to others. */
    val traffic: PeerTraffic = PeerTraffic()
    private val channel = PeerChannel(Address(control.host, peerPort), traffic)
    private val exchange = StateExchange(membership, context.state, context.watch, this, ExchangeRuntime(clock), scope)
    private val quarantine = QuarantineExchange(context.quarantine, membership, channel, clock, scope)
    private val speeds = EstimateExchange(context.load.estimates, scopes.estimates, channel, clock)
    private val usage = UsageExchange(scopes.shares, channel)

    /** Announces the placements of this instance, and records those that others announce. */
    val announcements: WorkAnnouncements = WorkAnnouncements(context.load, usage, channel, scope)
    private var loggedPeers: Set<MemberHost> = emptySet()

    /** Binds the UDP port and starts the periodic messages. */
    suspend fun start(eventLoop: EventLoop) {
        channel.open(eventLoop, ::receive)
        scope.launch {
            repeatUntilCancelled {
                repeat(TICKS_PER_LOG) {
                    send(membership.tick())
                    exchange.tick()
                    quarantine.tick()
                    speeds.tick()
                    delayUntilTick()
                }
                usage.send()
                logChanges()
            }
        }
    }

    private suspend fun delayUntilTick() {
        val startMillis = monotonicMillis()
        delay(TICK_MILLIS)
        val lateMillis = monotonicMillis() - startMillis - TICK_MILLIS
        if (lateMillis > STALL_MILLIS) EventLog.log(Event.LOOP_STALLED, field("lateMillis", lateMillis))
    }

    /** Whether others were asked at the start for what they know beyond the store, or there was time for it. */
    val isStartDone: Boolean get() = exchange.isStartDone

    /** Tells others that this instance stops. */
    fun leave(): Unit = send(membership.leave())

    override fun subscribe(source: MemberHost, subscription: FeedSubscription): Unit =
        channel.send(source, SubscribeRequest(subscription))

    override fun update(reader: MemberHost, update: FeedUpdate): Unit = channel.send(reader, SubscriptionUpdate(update))

    override suspend fun fetch(source: MemberHost): FetchResult =
        context.states.fetch(Address(source.value, control.port), context.state.position)

    override suspend fun fetchHeldOrNull(source: MemberHost): PeerState? =
        context.states.fetchHeldOrNull(Address(source.value, control.port))

    private fun logChanges() {
        val live = membership.live.mapTo(HashSet()) { it.host }
        (live - loggedPeers).forEach {
            EventLog.log(Event.PEER_CONNECTED, tokenField("peer", it.value), field("live", live.size))
        }
        (loggedPeers - live).forEach {
            EventLog.log(Event.PEER_LOST, tokenField("peer", it.value), field("live", live.size))
        }
        loggedPeers = live
        channel.logMalformed()
        traffic.logDropped()
    }

    private fun receive(sender: MemberHost, message: PeerMessage) {
        when (message) {
            is MembershipDocument -> send(membership.receive(sender, message.message))
            is SubscribeRequest -> exchange.onSubscribe(sender, message.subscription)
            is SubscriptionUpdate -> exchange.onUpdate(sender, message.update)
            is QuarantineDocument -> quarantine.receive(sender, message.message)
            is PlacedUsageUpdate -> usage.receive(message)
            is EstimateDocument -> speeds.receive(sender, message.message)
            is PlacedWorkUpdate -> announcements.receive(sender, message)
        }
    }

    private fun send(datagrams: List<MembershipDatagram>): Unit =
        datagrams.forEach { channel.send(it.to, MembershipDocument(it.message)) }
}

/** Several ticks in each period of the membership protocol and of the subscriptions. */
private const val TICK_MILLIS: Long = 250
private const val TICKS_PER_LOG: Int = 4

/** Lateness of a tick above which it is logged; the bounds on news are a few seconds. */
private const val STALL_MILLIS: Long = 250
