/**
 * Warms the request path up before the instance is ready.
 *
 * The first requests of a process are many times slower than later ones, since classes are loaded and code is compiled
 * as they pass. So the instance first sends itself some requests by way of listeners of its own: through the whole
 * path, with a configuration and an endpoint that only this class knows.
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
import pistachiopass.gateway.forward.EndpointRecords
import pistachiopass.gateway.forward.Forwarder
import pistachiopass.gateway.forward.GracefulShutdown
import pistachiopass.gateway.forward.RequestLog
import pistachiopass.gateway.forward.Reservations
import pistachiopass.gateway.forward.RetryBudget
import pistachiopass.gateway.forward.Sender
import pistachiopass.gateway.forward.SenderContext
import pistachiopass.gateway.forward.admissionOf
import pistachiopass.gateway.http.CallerConnections
import pistachiopass.gateway.http.CallerContext
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.http.IDLE_MAX_MILLIS
import pistachiopass.gateway.http.Part
import pistachiopass.gateway.http.UpstreamPool
import pistachiopass.gateway.http.listen
import pistachiopass.gateway.http.serveCallers
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.CallerLimits
import pistachiopass.gateway.model.EngineSpeeds
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.model.PromptSize
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.model.Route
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.RunLimit
import pistachiopass.gateway.model.Service
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.model.ServiceShare
import pistachiopass.gateway.placement.EndpointHealth
import pistachiopass.gateway.placement.FleetLoad
import pistachiopass.gateway.placement.Placement
import pistachiopass.gateway.settings.GatewaySettings
import pistachiopass.gateway.state.ageClockOf
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import java.io.IOException

/** Sends requests through a path of its own; the ports are two of those that are free for the instances' use. */
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
    private val silent = EventLog { _, _, _ -> }
    private val callers = UpstreamPool<Address>(eventLoop, clock)
    private val endpoints = UpstreamPool<Incarnation>(eventLoop, clock)
    private val bounds = settings.bounds
    private val knownState = knownStateOf(clock, silent)

    /** Sends the requests, for a bounded time and until [hasCallers], whose requests must not wait. */
    suspend fun run(hasCallers: () -> Boolean) {
        val startedMillis = steadyMillis()
        val done = withTimeoutOrNull(TIME_MAX_MILLIS) {
            try {
                sendAll(hasCallers)
            } catch (e: IOException) {
                EventLog.log(Event.INTERNAL_ERROR, field("error", e))
                0
            }
        }
        EventLog.log(Event.WARMED_UP, field("requests", done ?: 0), field("millis", steadyMillis() - startedMillis))
    }

    private suspend fun sendAll(hasCallers: () -> Boolean): Int {
        publish()
        val listeners = listOf(
            listen(group, callerAddress) { serveCallers(it, contextOf(forwarder())) },
            listen(group, endpointAddress) { serveCallers(it, contextOf(OwnEndpoint(wire))) },
        )
        try {
            return (1..REQUESTS).count { !hasCallers() && send(RequestId("warm-up-$it")) }
        } finally {
            listeners.forEach { it.close() }
            callers.closeAll()
            endpoints.closeAll()
        }
    }

    private fun publish() {
        val items = listOf(
            StateItem.Table(Revision(1), OWN_TABLE, problem = null),
            StateItem.Endpoint(Revision(2), OWN_ENDPOINT, published(), problem = null),
        )
        knownState.applyAll(StateSnapshot(Revision(2), items))
        knownState.freshness.confirmedByStore(clock.nowMillis())
    }

    private fun published(): PublishedEndpoint = PublishedEndpoint(
        Incarnation(OWN_ENDPOINT, bornMillis = 0),
        OWN_SERVICE,
        endpointAddress,
        DataCentreId("own"),
        OWN_SPEEDS.slots,
        isDraining = false,
        coldRemainingMillis = 0,
    )

    private fun contextOf(handler: CallerHandler): CallerContext =
        CallerContext(scope, handler, OWN_TABLE::limits, CallerConnections())

    private fun forwarder(): Forwarder {
        val load = FleetLoad(::steadyMillis)
        val health = EndpointHealth(::steadyMillis, silent)
        val admission = admissionOf(knownState, bounds.revokeMillis.toLong(), GracefulShutdown(::steadyMillis))
        val context = SenderContext(
            wire,
            knownState,
            admission,
            ColdBudget(bounds, { 1 }, clock),
            EndpointRecords(load, health) { },
            Reservations(NoOrders, holdMillis = 1, scope),
        )
        val retries = RetryBudget(bounds, { 1 }, clock::nowMillis)
        val placement = Placement(load, health, ::steadyMillis)
        return Forwarder(
            wire,
            admission,
            placement,
            retries,
            Sender(endpoints, context),
            RequestLog(silent, knownState),
        )
    }

    private suspend fun send(id: RequestId): Boolean {
        val connection = callers.acquireOrNull(callerAddress, callerAddress, IDLE_MAX_MILLIS) ?: return false
        try {
            val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, OWN_PREFIX)
            head.headers().set(HttpHeaderNames.HOST, OWN_HOST).set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES)
            wire.writeOwnRequest(head.headers(), id, PromptSize(PROMPT_TOKENS, ANSWER_TOKENS, ANSWER_TOKENS))
            connection.send(head, Unpooled.wrappedBuffer(ByteArray(BODY_BYTES)))
            var part = connection.receive()
            while (part !is Part.End && part !is Part.Broken) {
                if (part is Part.Data) part.bytes.release()
                part = connection.receive()
            }
            return part is Part.End
        } finally {
            callers.release(callerAddress, connection)
        }
    }
}

/** Answers each request with a short stream. */
private class OwnEndpoint(private val wire: WireFormat) : CallerHandler {
    override suspend fun serve(exchange: CallerExchange) {
        val id = requireNotNull(wire.readAnswer(STATUS_OK, exchange.request.headers()).requestId)
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        wire.writeOwnAnswer(headers, id)
        exchange.begin(STATUS_OK, headers)
        for (event in 1..EVENTS) {
            exchange.write(Unpooled.copiedBuffer("id: $event\ndata: $event\n\n", Charsets.UTF_8))
        }
        exchange.end()
    }
}

private object NoOrders : EndpointOrders {
    override suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome =
        OrderOutcome.REFUSED

    override suspend fun release(address: Address, reservation: String): OrderOutcome = OrderOutcome.DONE
}

private const val OWN_HOST = "own"
private const val OWN_PREFIX = "/own/"
private val OWN_SERVICE = ServiceName("own")
private val OWN_ENDPOINT = EndpointId("own")
private val OWN_SPEEDS = EngineSpeeds(
    slots = 8,
    memoryTokens = 100_000,
    passSteps = 32,
    stepMillis = 1.0,
    perSequenceMillis = 0.01,
    perThousandContextMillis = 0.01,
    readTokensPerMillis = 256.0,
    millionPairsMillis = 0.1,
)
private val OWN_ROUTE = Route(
    RouteName("own"),
    OWN_HOST,
    OWN_PREFIX,
    listOf(ServiceShare(OWN_SERVICE, 1)),
    RunLimit.RESUMABLE,
    isStream = true,
    isPublic = true,
    timeoutMillis = 2_000,
    objectiveMillis = 1_000,
    pauseMillis = 1_000,
    priority = 0,
    attemptsMax = 2,
)
private val OWN_TABLE = RoutingTable(
    TableVersion(1),
    listOf(OWN_ROUTE),
    mapOf(OWN_SERVICE to Service(OWN_SERVICE, coldPerSecond = 0.0, OWN_SPEEDS)),
    CallerLimits(headBytes = 16_384, bodyBytes = 65_536, headTimeoutMillis = 3_000, idleTimeoutMillis = 15_000),
    workspaceByKey = null,
)

/** Requests that are sent: enough for the code of the path to be compiled, which takes some hundred calls. */
private const val REQUESTS: Int = 120
private const val EVENTS: Int = 4
private const val BODY_BYTES: Int = 1_200
private const val PROMPT_TOKENS: Long = 40_000
private const val ANSWER_TOKENS: Long = 400
private const val STATUS_OK: Int = 200

/** The instance is ready after this time even if the warm-up is not over, so that recovery stays short. */
private const val TIME_MAX_MILLIS: Long = 1_500
