/** The members of a small fleet on loopback and the tables that describe it. */
package pistachiopass.proof.harness

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Instance
import pistachiopass.model.InstanceId
import pistachiopass.model.InstanceList
import pistachiopass.model.ModelName
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.PoolsTable
import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RouteName
import pistachiopass.model.RoutesTable
import pistachiopass.proof.history.MemoryLimits

/** Holds the documents and the ports of a fleet. */
public class FleetLayout internal constructor(
    /** Port of the platform. */
    public val platformPort: Int,
    /** Engines and plain services by pool. */
    public val pools: PoolsTable,
    /** Routes to both pools. */
    public val routes: RoutesTable,
    /** Instances with the addresses under which their peers reach them. */
    public val instances: InstanceList,
    /** Admin ports of the instances. */
    public val adminPorts: Map<InstanceId, Int>,
) {
    /** All engines. */
    public val engines: List<Endpoint> get() = pools.pools.first { it.kind == PoolKind.MODEL }.endpoints

    /** All plain services. */
    public val plains: List<Endpoint> get() = pools.pools.first { it.kind == PoolKind.PLAIN }.endpoints
}

/** Returns a layout of two data centres with two instances, two engines and one plain service each. */
public fun smallFleetLayout(): FleetLayout {
    val ports = FreePorts()
    val dataCentres = listOf(DataCentreId("a"), DataCentreId("b"))
    val instances = dataCentres.flatMap { centre -> (1..PER_CENTRE).map { instanceOf(centre, it, ports) } }
    val engines = dataCentres.flatMap { centre -> (1..PER_CENTRE).map { engineOf(centre, it, ports) } }
    val plains = dataCentres.map { Endpoint(EndpointId("plain-$it"), it, ports.address(), coldSlots = PLAIN_SLOTS) }
    return FleetLayout(
        platformPort = ports.next(),
        pools = PoolsTable(
            listOf(Pool(MODEL_POOL, PoolKind.MODEL, engines), Pool(PLAIN_POOL, PoolKind.PLAIN, plains)),
        ),
        routes = RoutesTable(ROUTES),
        instances = InstanceList(instances),
        adminPorts = instances.associate { it.id to ports.next() },
    )
}

private fun instanceOf(centre: DataCentreId, number: Int, ports: FreePorts): Instance =
    Instance(InstanceId("$centre-$number"), centre, httpAddress = ports.address(), peerAddress = ports.address())

private fun engineOf(centre: DataCentreId, number: Int, ports: FreePorts): Endpoint = Endpoint(
    EndpointId("engine-$centre-$number"),
    centre,
    ports.address(),
    budgetTokens = ENGINE_LIMITS.tokens,
    slots = ENGINE_SLOTS,
    coldBudgetTokens = ENGINE_LIMITS.coldTokens,
    coldSlots = ENGINE_LIMITS.coldRequests,
    models = listOf(ModelName(MODEL)),
)

/** The model that the fleet serves. */
public const val MODEL: String = "drape-8b"

/** What an engine of the fleet can hold. */
public val ENGINE_LIMITS: MemoryLimits = MemoryLimits(tokens = 20_000, coldTokens = 5_000, coldRequests = 2)

/** Limit of the route for model requests. */
public const val MODEL_TIMEOUT_MILLIS: Long = 12_000

/** Limit of the route for bookings. */
public const val BOOKING_TIMEOUT_MILLIS: Long = 8_000

internal const val ENGINE_SLOTS: Int = 8

private val MODEL_POOL = PoolName("engines")
private val PLAIN_POOL = PoolName("desk")
private val ROUTES: List<Route> = listOf(
    Route(
        RouteName("questions"),
        RouteMatch("/v1/chat/completions"),
        MODEL_POOL,
        timeoutMillis = MODEL_TIMEOUT_MILLIS,
    ),
    Route(
        RouteName("pickups"),
        RouteMatch("/pickups"),
        PLAIN_POOL,
        idempotent = false,
        timeoutMillis = BOOKING_TIMEOUT_MILLIS,
    ),
)
private const val PER_CENTRE: Int = 2
private const val PLAIN_SLOTS: Int = 16
