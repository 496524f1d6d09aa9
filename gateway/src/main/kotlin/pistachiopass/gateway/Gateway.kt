/** An instance: its listeners, its copy of the published state, its forwarder and its links to other instances. */
package pistachiopass.gateway

import com.github.michaelbull.result.Result
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.estimate.EstimateReports
import pistachiopass.gateway.control.ControlHandler
import pistachiopass.gateway.control.InstanceReport
import pistachiopass.gateway.control.LoadMetrics
import pistachiopass.gateway.control.SpeedMetrics
import pistachiopass.gateway.control.StatusHandler
import pistachiopass.gateway.forward.BALANCER_DRAIN_MILLIS
import pistachiopass.gateway.forward.ColdBudget
import pistachiopass.gateway.forward.ColdShares
import pistachiopass.gateway.forward.DemandRecords
import pistachiopass.gateway.forward.EndpointRecords
import pistachiopass.gateway.forward.Forwarder
import pistachiopass.gateway.forward.GracefulShutdown
import pistachiopass.gateway.forward.LentColdShares
import pistachiopass.gateway.forward.LoadShedding
import pistachiopass.gateway.forward.PartAdmission
import pistachiopass.gateway.forward.QuarantineEvents
import pistachiopass.gateway.forward.RequestLog
import pistachiopass.gateway.forward.Reservations
import pistachiopass.gateway.forward.RetryBudget
import pistachiopass.gateway.forward.Sender
import pistachiopass.gateway.forward.SenderContext
import pistachiopass.gateway.forward.SharedEndpoints
import pistachiopass.gateway.forward.SharedLimits
import pistachiopass.gateway.forward.StateAgeLog
import pistachiopass.gateway.forward.admissionOf
import pistachiopass.gateway.forward.holdMillisOf
import pistachiopass.gateway.http.CallerConnections
import pistachiopass.gateway.http.CallerContext
import pistachiopass.gateway.http.HttpClient
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.http.listen
import pistachiopass.gateway.http.orderClientOf
import pistachiopass.gateway.http.serveCallers
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.CallerLimits
import pistachiopass.gateway.model.DEFAULT_CALLER_LIMITS
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.addressOrNull
import pistachiopass.gateway.peers.PeerContext
import pistachiopass.gateway.peers.PeerScopes
import pistachiopass.gateway.peers.PeerStateClient
import pistachiopass.gateway.peers.PeerStateHandler
import pistachiopass.gateway.peers.Peers
import pistachiopass.gateway.peers.PublishedEstimateScope
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.EngineScopes
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Placement
import pistachiopass.gateway.placement.SpeedEvents
import pistachiopass.gateway.settings.BoundSettings
import pistachiopass.gateway.settings.CurrentBounds
import pistachiopass.gateway.settings.GatewaySettings
import pistachiopass.gateway.settings.LoadedSettings
import pistachiopass.gateway.state.PublishedState
import pistachiopass.gateway.state.StateWatch
import pistachiopass.gateway.state.ageClockOf
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.gateway.state.logUnread
import pistachiopass.limits.lentLimitOf
import pistachiopass.membership.GossipMembership
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.shortage.refusalDecisionOf
import pistachiopass.shortage.workspaceSharesOf
import java.util.concurrent.TimeUnit

/** Creates the platform-specific parts of an instance, which make outgoing calls through the given HTTP client. */
public interface PlatformAdapter {
    public val wire: WireFormat

    public val decoder: StateDecoder

    /** Returns a reader of the state that the platform publishes in the store at [store]. */
    public fun stateSource(client: HttpClient, store: Address): StateSource

    /** Returns a sender of orders to endpoints. */
    public fun endpointOrders(client: HttpClient): EndpointOrders
}

/** An instance that serves from [start] to [stop]. All its state is confined to one event loop. */
public class Gateway internal constructor(read: LoadedSettings, adapter: PlatformAdapter) {
    private val settings = read.settings
    private val bounds = CurrentBounds(settings.bounds, read.unread)
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop: EventLoop = group.next()
    private val exceptionHandler =
        CoroutineExceptionHandler { _, error -> EventLog.log(Event.INTERNAL_ERROR, field("error", error)) }
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher() + exceptionHandler)
    private val clock = ageClockOf()
    private val knownState = knownStateOf(clock)
    private val state = PublishedState(knownState, decoder = adapter.decoder)
    private val orderClient = orderClientOf(eventLoop, clock)
    private val source = adapter.stateSource(
        HttpClient(UpstreamPool(eventLoop, clock)),
        addressOf(settings.storeAddress)
    )
    private val watch = StateWatch(source, state, clock)
    private val endpointPool = UpstreamPool<EndpointIncarnation>(eventLoop, clock)
    private val health = EndpointHealth(::monotonicMillis, EventLog)
    private val load = FleetLoad(::monotonicMillis)
    private val connections = CallerConnections()
    private val shutdown = GracefulShutdown(::monotonicMillis)
    private val wire = adapter.wire
    private val controlAddress = addressOf(settings.controlAddress)
    private val membership = GossipMembership(
        Member(MemberHost(controlAddress.host), settings.dataCentre, incarnation = System.currentTimeMillis()),
        settings.seeds.mapNotNull { addressOrNull(it)?.host }.map(::MemberHost),
        clock::nowMillis,
    )
    private val quarantine = PartQuarantine(clock::nowMillis, membership::instances, QuarantineEvents(EventLog))
    private val parts = PartAdmission(quarantine, clock::nowMillis, EventLog)
    private val admission = admissionOf(knownState, { bounds.value.revokeMillis.toLong() }, shutdown, parts)
    private val limits = SharedLimits(clock::nowMillis, membership::instances)
    private val states = PeerStateClient(HttpClient(UpstreamPool(eventLoop, clock)))
    private val speedReports = EstimateReports(load.estimates, SpeedEvents(EventLog))
    private val scopes = EngineScopes(membership::self, membership::live)
    private val estimateScope = PublishedEstimateScope(knownState, scopes, membership)
    private val peerContext = PeerContext(membership, state, watch, states, load, quarantine)
    private val shares = workspaceSharesOf(::monotonicMillis)
    private val demand = DemandRecords(refusalDecisionOf(::monotonicMillis), shares)
    private val peerScopes = PeerScopes(estimateScope, shares)
    private val peers = Peers(controlAddress, settings.peerPort, peerContext, peerScopes, clock, scope)
    private val requestLog = RequestLog(EventLog, knownState)
    private val forwarder = forwarder(adapter)
    private var isStopping = false
    private var isWarm = false
    private var listeners: List<Channel> = emptyList()

    /** Starts to serve; returns once the instance is ready or [stopRequested] has completed. */
    public suspend fun start(stopRequested: Deferred<Unit>): Unit = withContext(scope.coroutineContext) {
        EventLog.log(Event.START, field("instance", settings.instance), field("dataCentre", settings.dataCentre))
        bounds.unread.forEach(EventLog::logUnread)
        val callers = CallerContext(scope, forwarder, ::callerLimits, connections)
        val readiness = ReadinessHandler(wire.readyPath, ::isReady)
        val probes = CallerContext(scope, readiness, { DEFAULT_CALLER_LIMITS }, CallerConnections())
        val loadMetrics = LoadMetrics(SpeedMetrics(speedReports, ::limitOf), demand.counts)
        val report = InstanceReport(settings, bounds, source, state, ::isReady)
        val status = StatusHandler(report::status, PeerStateHandler(state))
        val control = ControlHandler(quarantine, loadMetrics, report, peers.traffic, status)
        val readers = CallerContext(scope, control, { DEFAULT_CALLER_LIMITS }, CallerConnections())
        listeners = listOf(
            listen(group, addressOf(settings.callerAddress)) { serveCallers(it, callers) },
            listen(group, addressOf(settings.readyAddress)) { serveCallers(it, probes) },
            listen(group, controlAddress) { serveCallers(it, readers) },
        )
        peers.start(eventLoop)
        scope.launch { watch.run() }
        scope.launch { housekeeping() }
        scope.launch {
            WarmUp(wire, eventLoop, group, settings, scope).run { connections.size > 0 }
            isWarm = true
        }
        while (!isReady() && !stopRequested.isCompleted) delay(READY_POLL_MILLIS)
        EventLog.log(Event.READY, field("instance", settings.instance))
    }

    /** Applies the bounds that [read] returns, given those in force; all other settings need a new process. */
    public suspend fun changeSettings(read: (BoundSettings) -> Result<LoadedSettings, String>): Unit =
        withContext(scope.coroutineContext) { bounds.change(read(bounds.value)) }

    /**
     * Stops gracefully.
     *
     * Serves until the load balancer has had time to notice, then waits for running requests until shortly before the
     * end of the grace period.
     */
    public suspend fun stop(): Unit = withContext(scope.coroutineContext) {
        val graceMillis = (bounds.value.graceSeconds * MILLIS_PER_SECOND).toLong() - STOP_MARGIN_MILLIS
        val deadlineMillis = monotonicMillis() + graceMillis
        shutdown.begin(graceMillis)
        isStopping = true
        connections.isClosing = true
        EventLog.log(Event.STOP_BEGUN, field("connections", connections.size))
        peers.leave()
        delay(BALANCER_DRAIN_MILLIS)
        while (connections.size > 0 && monotonicMillis() < deadlineMillis) {
            connections.closeIdle(System.nanoTime())
            delay(STOP_POLL_MILLIS)
        }
        EventLog.log(
            if (connections.isBusy) Event.STOP_TIMED_OUT else Event.STOP_DONE,
            field("connections", connections.size),
        )
        listeners.forEach { it.close() }
    }

    /** Cancels all requests and closes all connections. */
    public fun close() {
        scope.cancel()
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly()
    }

    private fun isReady(): Boolean {
        val isTableCurrent = knownState.table != null && !knownState.isTableOutdated
        val isCurrent = isTableCurrent && knownState.freshness.isWithin(READY_STATE_AGE_MAX_MILLIS)
        return !isStopping && isWarm && isCurrent && peers.isStartDone
    }

    private fun callerLimits(): CallerLimits =
        knownState.table?.limits?.takeUnless { knownState.isTableOutdated } ?: DEFAULT_CALLER_LIMITS

    private fun limitOf(endpoint: EndpointIncarnation): Int =
        load.estimates.limitOf(endpoint, knownState.endpoints.findOrNull(endpoint.endpoint)?.published?.slots ?: 1)

    private fun forwarder(adapter: PlatformAdapter): Forwarder {
        val instances = limits::assumedInstances
        val orders = adapter.endpointOrders(orderClient)
        val holdMillis = { holdMillisOf(bounds.value.freeMillis, bounds.value.holdMaxMillis) }
        val context = SenderContext(
            wire,
            SharedEndpoints(knownState, scopes),
            admission,
            ColdBudget(bounds, coldShares(), clock),
            EndpointRecords(load, health, parts, requestLog, StateAgeLog(EventLog, knownState), peers.announcements),
            Reservations(orders, holdMillis, scope, ::monotonicMillis),
        )
        val retries = RetryBudget(bounds, instances, clock::nowMillis)
        val placement = Placement(load, health, nowMillis = ::monotonicMillis)
        val shedding =
            LoadShedding(placement, demand, load, context.endpoints, requestLog, ::monotonicMillis)
        return Forwarder(
            wire,
            admission,
            retries,
            Sender(endpointPool, context),
            shedding,
            requestLog,
        )
    }

    private fun coldShares(): ColdShares {
        val lent = lentLimitOf(clock::nowMillis, limits::assumedInstances, membership::joiningSinceMillis)
        return LentColdShares(knownState, membership::self, membership::remembered, lent)
    }

    private suspend fun housekeeping(): Unit = repeatUntilCancelled {
        delay(HOUSEKEEPING_MILLIS)
        knownState.endpoints.expireMissing()
        val known = knownState.endpoints.all().mapTo(HashSet()) { it.published.incarnation }
        endpointPool.trim(known::contains)
        health.trim(known::contains)
        load.trim(known::contains)
        speedReports.tellChanges()
        quarantine.expire()
        connections.closeTimedOut(System.nanoTime(), callerLimits())
    }
}

/** Returns an instance with [settings] on the platform behind [adapter]. */
public fun gatewayOf(settings: GatewaySettings, adapter: PlatformAdapter): Gateway =
    gatewayOf(LoadedSettings(settings, emptyList()), adapter)

/** Returns an instance with the settings [read], which reports what of them could not be read. */
public fun gatewayOf(read: LoadedSettings, adapter: PlatformAdapter): Gateway = Gateway(read, adapter)

private fun addressOf(text: String): Address =
    requireNotNull(addressOrNull(text)) { "address $text: expected host:port with a port from 1 to 65535" }

/** Age of the published state up to which the instance is ready; covers two long polls of the store and a reconnect. */
private const val READY_STATE_AGE_MAX_MILLIS: Long = 3_500
private const val READY_POLL_MILLIS: Long = 10
private const val HOUSEKEEPING_MILLIS: Long = 1_000

private const val STOP_POLL_MILLIS: Long = 50

/** Time at the end of the grace period that is left for the process to exit. */
private const val STOP_MARGIN_MILLIS: Long = 600
private const val CLOSE_TIMEOUT_MILLIS: Long = 500
private const val MILLIS_PER_SECOND: Double = 1_000.0
