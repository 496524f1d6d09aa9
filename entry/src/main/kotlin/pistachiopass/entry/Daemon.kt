/** The daemon: creates servers, filters, controllers and clients, starts them and stops them in order. */
package pistachiopass.entry

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import pistachiopass.entry.body.BodyReader
import pistachiopass.entry.body.memoryBudgetOf
import pistachiopass.entry.booking.BookingFilter
import pistachiopass.entry.booking.EndpointBookingSender
import pistachiopass.entry.booking.VerdictFilter
import pistachiopass.entry.booking.instanceBookingsOf
import pistachiopass.entry.endpoint.EndpointBreaker
import pistachiopass.entry.endpoint.LoadController
import pistachiopass.entry.endpoint.endpointClientOf
import pistachiopass.entry.filter.BodyFilter
import pistachiopass.entry.filter.ForwardHandler
import pistachiopass.entry.filter.ResumeFilter
import pistachiopass.entry.filter.RetryFilter
import pistachiopass.entry.filter.RouteFilter
import pistachiopass.entry.filter.StopFilter
import pistachiopass.entry.filter.retryBudgetOf
import pistachiopass.entry.http.AdminSource
import pistachiopass.entry.http.RunningRequests
import pistachiopass.entry.http.callerServerOf
import pistachiopass.entry.http.endingIn
import pistachiopass.entry.http.serveAdmin
import pistachiopass.entry.http.serveCallers
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.entry.logging.tokenField
import pistachiopass.entry.metrics.metricsOf
import pistachiopass.entry.peer.peerNetworkOf
import pistachiopass.entry.placement.CapacityAllocator
import pistachiopass.entry.placement.CapacityController
import pistachiopass.entry.placement.LeaseAllocator
import pistachiopass.entry.placement.UncoordinatedAllocator
import pistachiopass.entry.platform.platformClientOf
import pistachiopass.entry.platform.tablesControllerOf
import pistachiopass.entry.settings.Placement
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.stream.RelayLimits
import pistachiopass.entry.stream.ResponseRelay
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.Instance
import pistachiopass.peer.startIdOf
import pistachiopass.routing.affinityChooser
import pistachiopass.status.InstanceStatus
import pistachiopass.stream.eventIdsOf
import pistachiopass.tables.tablesInForceOf
import java.util.Base64
import kotlin.random.Random
import kotlin.time.TimeSource

/** Runs one instance from [start] to [stop]. */
public class Daemon(private val settings: Settings) {
    private val startedAt = TimeSource.Monotonic.markNow()
    private val startId = startIdOf(System.currentTimeMillis(), Random.Default)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = metricsOf()
    private val memory = memoryBudgetOf(settings.limits.heldBytes)
    private val tables = tablesInForceOf()
    private val network = peerNetworkOf(settings, startId, metrics) { tables.state.value.instances?.value }
    private val platform = platformClientOf(settings.platformAddress, settings.instance)
    private val tablesController = tablesControllerOf(platform, network, tables, metrics)
    private val client = endpointClientOf(settings.limits.readIdleMillis)
    private val breaker = EndpointBreaker()
    private val capacity = CapacityController(network.transport, client, tables.state, settings.placement, metrics)
    private val loadController = LoadController(client, ::endpointsToPoll, listener = capacity.state::onReport)
    private val limits = settings.limits
    private val eventIds = eventIdsOf(Base64.getDecoder().decode(settings.sharedKey))
    private val allocator = allocator()
    private val bookings = instanceBookingsOf(
        settings,
        network.transport,
        EndpointBookingSender(allocator, client, tables.state::value, settings.ledger),
        ::instances,
        scope,
    )
    private val stopFilter = StopFilter()
    private val runningRequests = RunningRequests()
    private val servers = listOf(callerServer(), adminServer())

    @Volatile
    private var stopping: Boolean = false

    /** Starts the servers and controllers and returns once the instance is ready. */
    public suspend fun start() {
        log(Event.START)
        tablesController.start(scope)
        if (settings.placement != Placement.BLIND) capacity.start(scope)
        network.start(scope)
        loadController.start(scope)
        servers.forEach { it.startSuspend(wait = false) }
        while (!tablesController.isReady) delay(READY_POLL_MILLIS)
        log(Event.READY)
    }

    /** Refuses new requests, waits for running requests at most until the stop limit, and closes everything. */
    public suspend fun stop() {
        stopping = true
        log(Event.STOP_BEGUN)
        GracefulStop(stopFilter, runningRequests, bookings, limits.stopMillis).run()
        servers.forEach { it.stopSuspend(SERVER_GRACE_MILLIS, SERVER_GRACE_MILLIS) }
        network.close()
        scope.cancel()
        client.close()
        platform.close()
        log(Event.STOP_DONE)
    }

    private fun callerServer(): EmbeddedServer<*, *> {
        val relay = ResponseRelay(client, eventIds, RelayLimits(limits.readIdleMillis, limits.stallMillis))
        val filters = listOf(
            VerdictFilter(),
            stopFilter,
            ResumeFilter(tables.state::value, eventIds, relay, client),
            BodyFilter(BodyReader(limits.bodyBytes, memory)),
            RouteFilter(tables.state::value),
            BookingFilter(bookings, settings.ledger.recordBytes, metrics),
            RetryFilter(retryBudgetOf(), metrics),
        )
        val handler = filters.endingIn(
            ForwardHandler(allocator, client, relay, breaker) { tables.state.value.pools?.value },
        )
        return callerServerOf(settings) { serveCallers(handler, limits.streamBufferBytes, runningRequests) }
    }

    private fun adminServer(): EmbeddedServer<*, *> {
        val address = HostPort(settings.adminAddress)
        return embeddedServer(CIO, host = address.host, port = address.port) { serveAdmin(Admin()) }
    }

    private fun allocator(): CapacityAllocator = when (settings.placement) {
        Placement.BLIND ->
            UncoordinatedAllocator(settings.dataCentre, affinityChooser(), loadController, ::dataCentresOut, breaker)
        else -> LeaseAllocator(affinityChooser(), capacity, ::dataCentresOut, breaker, scope)
    }

    private fun endpointsToPoll(): List<Endpoint> = when (settings.placement) {
        Placement.BLIND ->
            tables.state.value.pools?.value?.pools.orEmpty().flatMap { it.endpoints }.distinctBy { it.id }
        else -> capacity.state.endpointsToPoll()
    }

    private fun instances(): List<Instance> = tables.state.value.instances?.value?.instances.orEmpty()

    private fun dataCentresOut(): Set<DataCentreId> = tables.state.value.pools?.value?.dataCentresOut.orEmpty()

    private fun uptimeMillis(): Long = startedAt.elapsedNow().inWholeMilliseconds

    private fun log(event: Event): Unit = EventLog.log(
        event,
        field("instance", settings.instance),
        field("dataCentre", settings.dataCentre),
        tokenField("startId", startId.value),
    )

    private inner class Admin : AdminSource {
        override fun isReady(): Boolean =
            !stopping && tablesController.isReady

        override fun scrape(): String = metrics.scrape()

        override fun status(): InstanceStatus = InstanceStatus(
            instance = settings.instance,
            dataCentre = settings.dataCentre,
            startId = startId,
            ready = isReady(),
            uptimeMillis = uptimeMillis(),
            tables = tablesController.statuses(),
            peers = network.statuses(),
            endpoints = capacity.state.endpointStatus(),
            leases = capacity.state.leaseStatus(),
            heldBytes = memory.heldBytes,
        )
    }
}

private const val READY_POLL_MILLIS: Long = 20
private const val SERVER_GRACE_MILLIS: Long = 500
