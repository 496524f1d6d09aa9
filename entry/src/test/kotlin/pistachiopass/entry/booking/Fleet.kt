/** Instances with real servers and sockets on loopback, and an HTTP service that counts how often it runs each key. */
package pistachiopass.entry.booking

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.serialization.json.Json
import pistachiopass.entry.GracefulStop
import pistachiopass.entry.body.BodyReader
import pistachiopass.entry.body.memoryBudgetOf
import pistachiopass.entry.endpoint.endpointClientOf
import pistachiopass.entry.filter.BodyFilter
import pistachiopass.entry.filter.ForwardHandler
import pistachiopass.entry.filter.RouteFilter
import pistachiopass.entry.filter.StopFilter
import pistachiopass.entry.http.IDEMPOTENCY_KEY_HEADER
import pistachiopass.entry.http.RunningRequests
import pistachiopass.entry.http.endingIn
import pistachiopass.entry.http.serveCallers
import pistachiopass.entry.metrics.metricsOf
import pistachiopass.entry.peer.PeerConfig
import pistachiopass.entry.peer.socketPeerTransportOf
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.stream.RelayLimits
import pistachiopass.entry.stream.ResponseRelay
import pistachiopass.model.DataCentreId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.TableVersion
import pistachiopass.peer.PeerIdentity
import pistachiopass.peer.startIdOf
import pistachiopass.stream.eventIdsOf
import pistachiopass.tables.DocumentName
import pistachiopass.tables.tablesInForceOf
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** An HTTP service that answers with the run count of the key; a body of `slow` waits for [isReleased]. */
internal class CountingService {
    val runs = ConcurrentHashMap<String, Int>()
    val isReleased = CompletableDeferred<Unit>()
    private val server = embeddedServer(io.ktor.server.cio.CIO, host = "127.0.0.1", port = 0) {
        routing {
            post("/{path...}") {
                val key = call.request.headers[IDEMPOTENCY_KEY_HEADER].orEmpty()
                val number = runs.merge(key, 1, Int::plus)
                if (call.receiveText() == "slow") isReleased.await()
                call.response.header("X-Truck", "17")
                call.respondText("run $number of ${runs.size}")
            }
        }
    }

    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.port()
    }

    fun stop() = server.stop()
}

/** Starts instances that know each other and send their bookings to the service at [servicePort]. */
internal class Fleet(private val servicePort: Int, private val routeTimeoutMillis: Long) {
    val published = CopyOnWriteArrayList<Instance>()
    val http = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = 60_000 } }
    private val instances = ArrayList<TestInstance>()

    suspend fun start(name: String, dataCentre: String): TestInstance {
        val instance = TestInstance(this, name, dataCentre)
        instances += instance
        instance.start()
        return instance
    }

    fun tables() = tablesInForceOf().also { tables ->
        val endpoint = """{"id":"e1","dataCentre":"dc1","address":"127.0.0.1:$servicePort"}"""
        val pools = """{"pools":[{"name":"desk","kind":"plain","endpoints":[$endpoint]}]}"""
        val routes = """{"routes":[{"name":"p","match":{"pathPrefix":"/pickups"},"pool":"desk","idempotent":false,
            "timeoutMillis":$routeTimeoutMillis},{"name":"j","match":{"pathPrefix":"/jobs"},"pool":"desk"}]}"""
        tables.offer(DocumentName.POOLS, TableVersion(1), Json.parseToJsonElement(pools), 0)
        tables.offer(DocumentName.ROUTES, TableVersion(1), Json.parseToJsonElement(routes), 0)
    }

    fun close() {
        instances.forEach { it.kill() }
        http.close()
    }
}

/** An instance with its servers, transport and bookings. */
internal class TestInstance(private val fleet: Fleet, name: String, dataCentre: String) {
    private val settings = Settings(
        instance = InstanceId(name),
        dataCentre = DataCentreId(dataCentre),
        httpAddress = "127.0.0.1:0",
        peerAddress = "127.0.0.1:0",
        adminAddress = "127.0.0.1:0",
        platformAddress = "127.0.0.1:1",
        sharedKey = Base64.getEncoder().encodeToString(ByteArray(32) { 5 }),
    )
    private val metrics = metricsOf()
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    private val client = endpointClientOf(readIdleMillis = 5_000)
    private val tables = fleet.tables()
    private val transport = socketPeerTransportOf(
        PeerConfig(
            PeerIdentity(settings.instance, settings.dataCentre, startIdOf(System.currentTimeMillis(), Random.Default)),
            Base64.getDecoder().decode(settings.sharedKey),
            addresses = { peer -> fleet.published.find { it.id == peer }?.peerAddress },
        ),
        metrics,
    )
    private val bookings = instanceBookingsOf(
        settings,
        transport,
        EndpointBookingSender(FirstAllocator, client, tables.state::value, settings.ledger),
        { fleet.published },
        scope,
    )
    private val stopFilter = StopFilter()
    private val running = RunningRequests()
    private val relay = ResponseRelay(client, eventIdsOf(ByteArray(32)), RelayLimits(60_000, 60_000))
    private val server: EmbeddedServer<*, *> = embeddedServer(io.ktor.server.cio.CIO, host = "127.0.0.1", port = 0) {
        serveCallers(
            listOf(
                VerdictFilter(),
                stopFilter,
                BodyFilter(BodyReader(MAX_BODY_BYTES, memoryBudgetOf(MAX_BODY_BYTES))),
                RouteFilter(tables.state::value),
                BookingFilter(bookings, settings.ledger.recordBytes, metrics),
            ).endingIn(ForwardHandler(FirstAllocator, client, relay) { tables.state.value.pools?.value }),
            settings.limits.streamBufferBytes,
            running,
        )
    }
    private var port = 0

    suspend fun start() {
        val peerPort = transport.listen("127.0.0.1", 0)
        server.startSuspend(wait = false)
        port = server.port()
        val address = "127.0.0.1:$port"
        fleet.published += Instance(settings.instance, settings.dataCentre, address, "127.0.0.1:$peerPort")
    }

    suspend fun post(body: String, key: String? = null, path: String = "/pickups"): HttpResponse =
        fleet.http.post("http://127.0.0.1:$port$path") {
            key?.let { header(IDEMPOTENCY_KEY_HEADER, it) }
            setBody(body)
        }

    suspend fun key(): String = checkNotNull(post("").headers[IDEMPOTENCY_KEY_HEADER])

    /** Refuses new requests, which is the first step of a graceful stop. */
    fun beginStop() = stopFilter.close()

    /** Stops gracefully, as on SIGTERM. */
    suspend fun stop() {
        GracefulStop(stopFilter, running, bookings, stopMillis = 20_000).run()
        kill()
    }

    fun kill() {
        server.stop(0, 0)
        transport.close()
        scope.cancel()
        client.close()
    }
}

private suspend fun EmbeddedServer<*, *>.port(): Int = engine.resolvedConnectors().first().port

private const val MAX_BODY_BYTES = 1_000_000L
