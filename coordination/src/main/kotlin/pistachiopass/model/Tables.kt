/**
 * The documents that the platform publishes: the routes table, the pools table and the instance list.
 *
 * Routes refer to pools by name only. Documents are JSON; [Published] adds the version that the platform assigns to
 * each revision of a document.
 */
package pistachiopass.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One published revision of a document. */
@Serializable
public data class Published<T>(val name: String, val version: TableVersion, val value: T)

/** Lists the routes in matching order; the first match applies. */
@Serializable
public data class RoutesTable(val routes: List<Route>)

/** Sends the requests that [match] describes to the pool named [pool]. */
@Serializable
public data class Route(
    val name: RouteName,
    val match: RouteMatch,
    val pool: PoolName,
    /** Whether a request may be retried although an earlier attempt may have run. */
    val idempotent: Boolean = true,
    /** Maximum time from the arrival of a request to the end of its response. */
    val timeoutMillis: Long = DEFAULT_ROUTE_TIMEOUT_MILLIS,
    /** Maximum time from the arrival of a request to the first token or byte of its response. */
    val firstTokenTimeoutMillis: Long = timeoutMillis,
)

/** Condition on the path prefix and, where given, on the model and the workspace; absent fields match everything. */
@Serializable
public data class RouteMatch(
    val pathPrefix: String,
    val model: ModelName? = null,
    val workspace: WorkspaceId? = null,
)

/** Lists the pools, and the data centres that operators have taken out of service. */
@Serializable
public data class PoolsTable(
    val pools: List<Pool>,
    val dataCentresOut: Set<DataCentreId> = emptySet(),
)

/** Protocol of the endpoints of a pool. */
@Serializable
public enum class PoolKind {
    /** Model engines: chat completions with streaming, KV cache memory and load reports. */
    @SerialName("model")
    MODEL,

    /** Plain HTTP services: one request, one response. */
    @SerialName("plain")
    PLAIN,
}

/** A group of endpoints that serve the same requests. */
@Serializable
public data class Pool(
    val name: PoolName,
    val kind: PoolKind,
    val endpoints: List<Endpoint>,
)

/** Whether an endpoint may be given new requests. */
@Serializable
public enum class EndpointState {
    /** Accepts new requests. */
    @SerialName("active")
    ACTIVE,

    /** Draining: finishes its requests and accepts no new ones. */
    @SerialName("leaving")
    LEAVING,
}

/** The address and the capacity of one endpoint; its capacity is lower during a cold start. */
@Serializable
public data class Endpoint(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    /** Host and port, for example `127.0.0.1:9001`. */
    val address: String,
    val state: EndpointState = EndpointState.ACTIVE,
    /** KV cache memory in tokens; plain services are limited by [slots] alone. */
    val budgetTokens: Long = 0,
    /** Maximum number of concurrent requests. */
    val slots: Int = DEFAULT_SLOTS,
    /** KV cache memory, in tokens, that may be used during a cold start. */
    val coldBudgetTokens: Long = budgetTokens,
    /** Maximum number of concurrent requests during a cold start. */
    val coldSlots: Int = 1,
    /** Whether the endpoint refuses an order, such as one to load a model, that carries an outdated fencing number. */
    val checksFencing: Boolean = true,
    /** Models that the endpoint should serve; an engine that lacks one is ordered to load it. */
    val models: List<ModelName> = emptyList(),
)

/** Lists the instances that the platform knows; the list lags behind the actual state. */
@Serializable
public data class InstanceList(val instances: List<Instance>)

/** Whether an instance may own endpoints. */
@Serializable
public enum class InstanceState {
    /** Serves requests and may own endpoints, that is, grant leases on them. */
    @SerialName("live")
    LIVE,

    /** Draining: finishes its requests and owns no endpoint. */
    @SerialName("leaving")
    LEAVING,
}

/** The addresses and the state of one instance of the daemon. */
@Serializable
public data class Instance(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    /** Host and port for callers. */
    val httpAddress: String,
    /** Host and port for the other instances. */
    val peerAddress: String,
    val state: InstanceState = InstanceState.LIVE,
)

/** Timeout of a request whose route states none. */
public const val DEFAULT_ROUTE_TIMEOUT_MILLIS: Long = 60_000

/** Maximum number of concurrent requests on an endpoint for which the pools table states none. */
public const val DEFAULT_SLOTS: Int = 16
