/**
 * Warms up the request path before the instance is ready.
 *
 * The first requests of a process are many times slower than later ones, since classes are loaded and code is compiled
 * while they are served. The instance therefore first sends itself requests through the whole path, over separate
 * listeners and with a routing table and an endpoint that exist only here.
 */
package pistachiopass.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.forward.ColdBudget
import pistachiopass.gateway.forward.DemandRecords
import pistachiopass.gateway.forward.EndpointRecords
import pistachiopass.gateway.forward.EstimateSink
import pistachiopass.gateway.forward.Forwarder
import pistachiopass.gateway.forward.GracefulShutdown
import pistachiopass.gateway.forward.LoadShedding
import pistachiopass.gateway.forward.PartAdmission
import pistachiopass.gateway.forward.QuarantineEvents
import pistachiopass.gateway.forward.RequestLog
import pistachiopass.gateway.forward.Reservations
import pistachiopass.gateway.forward.RetryBudget
import pistachiopass.gateway.forward.Sender
import pistachiopass.gateway.forward.SenderContext
import pistachiopass.gateway.forward.SharedEndpoints
import pistachiopass.gateway.forward.StateAgeLog
import pistachiopass.gateway.forward.admissionOf
import pistachiopass.gateway.http.CallerConnections
import pistachiopass.gateway.http.CallerContext
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.http.IDLE_MAX_MILLIS
import pistachiopass.gateway.http.ResponsePart
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.http.listen
import pistachiopass.gateway.http.serveCallers
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.CallerLimits
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.RunLimit
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.gateway.model.WeightedService
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.EngineScopes
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Placement
import pistachiopass.gateway.settings.CurrentBounds
import pistachiopass.gateway.settings.GatewaySettings
import pistachiopass.gateway.state.ageClockOf
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import pistachiopass.published.Revision
import pistachiopass.quarantine.PartQuarantine
import pistachiopass.shortage.refusalDecisionOf
import pistachiopass.shortage.workspaceSharesOf
import java.io.IOException

/** Sends warm-up requests through its own forwarder, over two of the ports reserved for traffic between instances. */
internal class WarmUp(
    private val wire: WireFormat,
    eventLoop: EventLoop,
    private val group: EventLoopGroup,
    settings: GatewaySettings,
    private val scope: CoroutineScope,
) {
    private val host = settings.controlAddress.substringBeforeLast(':')
    private val callerAddress = Address(host, settings.peerPort + 1)
    private val endpointAddress = Address(host, settings.peerPort + 2)
    private val clock = ageClockOf()
    private val discardingLog = EventLog { _, _, _ -> }
    private val clientPool = UpstreamPool<Address>(eventLoop, clock)
    private val endpointPool = UpstreamPool<EndpointIncarnation>(eventLoop, clock)
    private val bounds = CurrentBounds(settings.bounds)
    private val knownState = knownStateOf(clock, discardingLog)

    /**
     * Sends the requests, for at most [WARM_UP_MAX_MILLIS].
     *
     * Ends as soon as [hasCallers], so that callers' requests do not wait for the warm-up.
     */
    suspend fun run(hasCallers: () -> Boolean) {
        val startedMillis = monotonicMillis()
        val done = withTimeoutOrNull(WARM_UP_MAX_MILLIS) {
            try {
                sendAll(hasCallers)
            } catch (e: IOException) {
                EventLog.log(Event.INTERNAL_ERROR, field("error", e))
                0
            }
        }
        EventLog.log(Event.WARMED_UP, field("requests", done ?: 0), field("millis", monotonicMillis() - startedMillis))
    }

    private suspend fun sendAll(hasCallers: () -> Boolean): Int {
        applyWarmUpState()
        val listeners = listOf(
            listen(group, callerAddress) { serveCallers(it, contextOf(forwarder())) },
            listen(group, endpointAddress) { serveCallers(it, contextOf(WarmUpEndpoint(wire))) },
        )
        try {
            return (1..WARM_UP_REQUESTS).count { !hasCallers() && send(RequestId("warm-up-$it")) }
        } finally {
            listeners.forEach { it.close() }
            clientPool.closeAll()
            endpointPool.closeAll()
        }
    }

    private fun applyWarmUpState() {
        val items = listOf(
            StateItem.Table(Revision(1), WARM_UP_TABLE, problem = null),
            StateItem.Endpoint(Revision(2), WARM_UP_ENDPOINT, publishedEndpoint(), problem = null),
        )
        knownState.apply(items)
        knownState.freshness.confirmed(clock.nowMillis())
    }

    private fun publishedEndpoint(): PublishedEndpoint = PublishedEndpoint(
        EndpointIncarnation(WARM_UP_ENDPOINT, bornMillis = 0),
        WARM_UP_SERVICE,
        endpointAddress,
        DataCentreId("own"),
        WARM_UP_SPEEDS.slots,
        isDraining = false,
        coldRemainingMillis = 0,
    )

    private fun contextOf(handler: CallerHandler): CallerContext =
        CallerContext(scope, handler, WARM_UP_TABLE::limits, CallerConnections())

    private fun forwarder(): Forwarder {
        val load = FleetLoad(::monotonicMillis)
        val health = EndpointHealth(::monotonicMillis, discardingLog)
        val requestLog = RequestLog(discardingLog, knownState)
        val quarantine = PartQuarantine(clock::nowMillis, { 1 }, QuarantineEvents(discardingLog))
        val parts = PartAdmission(quarantine, clock::nowMillis, discardingLog)
        val admission =
            admissionOf(knownState, { bounds.value.revokeMillis.toLong() }, GracefulShutdown(::monotonicMillis), parts)
        val context = SenderContext(
            wire,
            SharedEndpoints(knownState, EngineScopes({ WARM_UP_MEMBER }, { emptyList() })),
            admission,
            ColdBudget(bounds, { _, limit -> limit.toInt() }, clock),
            EndpointRecords(load, health, parts, requestLog, StateAgeLog(discardingLog, knownState), EstimateSink.None),
            Reservations(RefusingOrders, { 1 }, scope, ::monotonicMillis),
        )
        val retries = RetryBudget(bounds, { 1 }, clock::nowMillis)
        val placement = Placement(load, health, nowMillis = ::monotonicMillis)
        val demand = DemandRecords(refusalDecisionOf(::monotonicMillis), workspaceSharesOf(::monotonicMillis))
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

    private suspend fun send(id: RequestId): Boolean {
        val connection = clientPool.acquireOrNull(callerAddress, callerAddress, IDLE_MAX_MILLIS) ?: return false
        try {
            val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, WARM_UP_PREFIX)
            head.headers().set(HttpHeaderNames.HOST, WARM_UP_HOST).set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES)
            wire.writeWarmUpRequest(head.headers(), id, TokenCounts(PROMPT_TOKENS, ANSWER_TOKENS, ANSWER_TOKENS))
            connection.send(head, Unpooled.wrappedBuffer(ByteArray(BODY_BYTES))) { true }
            var part = connection.receive()
            while (part !is ResponsePart.End && part !is ResponsePart.Failed) {
                if (part is ResponsePart.Data) part.bytes.release()
                part = connection.receive()
            }
            return part is ResponsePart.End
        } finally {
            clientPool.release(callerAddress, connection)
        }
    }
}

/** Responds to each request with a short event stream. */
private class WarmUpEndpoint(private val wire: WireFormat) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        // The request id has the same header in requests and in responses.
        val id = requireNotNull(wire.readResponse(STATUS_OK, exchange.request.headers()).requestId)
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        wire.writeWarmUpResponse(headers, id)
        exchange.begin(STATUS_OK, headers)
        for (event in 1..STREAM_EVENTS) {
            exchange.write(Unpooled.copiedBuffer("id: $event\ndata: $event\n\n", Charsets.UTF_8))
        }
        exchange.end()
    }
}

private object RefusingOrders : EndpointOrders {
    override suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome =
        OrderOutcome.REFUSED

    override suspend fun release(address: Address, reservation: String): OrderOutcome = OrderOutcome.DONE
}

private const val WARM_UP_HOST = "own"
private const val WARM_UP_PREFIX = "/own/"
private val WARM_UP_MEMBER = Member(MemberHost("own"), DataCentreId("own"), incarnation = 0)
private val WARM_UP_SERVICE = ServiceName("own")
private val WARM_UP_ENDPOINT = EndpointId("own")
private val WARM_UP_SPEEDS = EngineSpeeds(
    slots = 8,
    memoryTokens = 100_000,
    decodeStepsPerPass = 32,
    stepMillis = 1.0,
    perSequenceMillis = 0.01,
    perThousandContextMillis = 0.01,
    prefillTokensPerMillis = 256.0,
    millionPairsMillis = 0.1,
)
private val WARM_UP_ROUTE = Route(
    RouteName("own"),
    WARM_UP_HOST,
    WARM_UP_PREFIX,
    listOf(WeightedService(WARM_UP_SERVICE, 1.0)),
    RunLimit.RESUMABLE,
    isStream = true,
    isPublic = true,
    timeoutMillis = 2_000,
    targetLatencyMillis = 1_000,
    gapTargetMillis = 1_000,
    priority = 0,
    attemptsMax = 2,
)
private val WARM_UP_TABLE = RoutingTable(
    TableVersion(1),
    listOf(WARM_UP_ROUTE),
    mapOf(WARM_UP_SERVICE to Service(WARM_UP_SERVICE, coldRequestsPerSecond = 0.0, WARM_UP_SPEEDS)),
    CallerLimits(headerBytes = 16_384, bodyBytes = 65_536, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000),
    workspaces = null,
)

/** Enough requests to load the classes of the request path; each further one costs about what it saves later. */
private const val WARM_UP_REQUESTS: Int = 8
private const val STREAM_EVENTS: Int = 4
private const val BODY_BYTES: Int = 1_200
private const val PROMPT_TOKENS: Long = 40_000
private const val ANSWER_TOKENS: Long = 400
private const val STATUS_OK: Int = 200

/** The instance is ready after this time even if the warm-up has not ended, so that a restart stays short. */
private const val WARM_UP_MAX_MILLIS: Long = 1_500
