/**
 * The three documents that the platform publishes: the routes table, the pools table and the instance list.
 *
 * Routes and pools are joined by pool name only. Documents are JSON; [Published] adds the version that the platform
 * gives to each state of a document.
 */
package pistachiopass.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds one published state of a document together with its [version]. */
@Serializable
public data class Published<T>(val name: String, val version: TableVersion, val value: T)

/** Lists the routes in the order in which they are matched; the first match wins. */
@Serializable
public data class RoutesTable(val routes: List<Route>)

/** Sends the requests that [match] describes to the pool named [pool]. */
@Serializable
public data class Route(
    val name: RouteName,
    val match: RouteMatch,
    val pool: PoolName,
    /** Whether a request of this route may be sent again after it may have run. */
    val idempotent: Boolean = true,
    /** Longest time from arrival to the end of the answer. */
    val timeoutMillis: Long = DEFAULT_ROUTE_TIMEOUT_MILLIS,
    /** Longest time from arrival to the first token or byte of the answer. */
    val firstTokenTimeoutMillis: Long = timeoutMillis,
)

/** Describes requests by path prefix and, where given, by model and workspace. Absent fields match everything. */
@Serializable
public data class RouteMatch(
    val pathPrefix: String,
    val model: ModelName? = null,
    val workspace: WorkspaceId? = null,
)

/** Lists the pools and the data centres that operators have taken out of service. */
@Serializable
public data class PoolsTable(
    val pools: List<Pool>,
    val dataCentresOut: Set<DataCentreId> = emptySet(),
)

/** Tells how the endpoints of a pool are spoken to. */
@Serializable
public enum class PoolKind {
    /** Model engines: chat completions with streams, KV memory and load reports. */
    @SerialName("model")
    MODEL,

    /** Plain HTTP services: one request, one response. */
    @SerialName("plain")
    PLAIN,
}

/** Groups endpoints that serve the same requests. */
@Serializable
public data class Pool(
    val name: PoolName,
    val kind: PoolKind,
    val endpoints: List<Endpoint>,
)

/** Tells whether operators want new work on an endpoint. */
@Serializable
public enum class EndpointState {
    /** Takes new work. */
    @SerialName("active")
    ACTIVE,

    /** Finishes its work and takes none. */
    @SerialName("leaving")
    LEAVING,
}

/** Describes one endpoint: where it is and how much it can hold, warm and cold. */
@Serializable
public data class Endpoint(
    val id: EndpointId,
    val dataCentre: DataCentreId,
    /** Host and port, `127.0.0.1:9001`. */
    val address: String,
    val state: EndpointState = EndpointState.ACTIVE,
    /** KV memory in tokens; for plain services the slots alone count. */
    val budgetTokens: Long = 0,
    /** Requests at a time. */
    val slots: Int = DEFAULT_SLOTS,
    /** Tokens that the endpoint can bear during a cold start. */
    val coldBudgetTokens: Long = budgetTokens,
    /** Requests that the endpoint can bear during a cold start. */
    val coldSlots: Int = 1,
    /** Whether the endpoint refuses an order that carries an old fencing number. */
    val checksFencing: Boolean = true,
    /** Models that the endpoint should serve; engines are ordered to load what they lack. */
    val models: List<ModelName> = emptyList(),
)

/** Lists the instances that the platform knows; it lags behind the truth. */
@Serializable
public data class InstanceList(val instances: List<Instance>)

/** Tells whether an instance takes part in decisions. */
@Serializable
public enum class InstanceState {
    /** Serves and owns endpoints. */
    @SerialName("live")
    LIVE,

    /** Finishes its work and owns nothing. */
    @SerialName("leaving")
    LEAVING,
}

/** Describes one instance of the daemon. */
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

/** Longest time for a request whose route states none. */
public const val DEFAULT_ROUTE_TIMEOUT_MILLIS: Long = 60_000

/** Requests at a time on an endpoint for which the table states no number. */
public const val DEFAULT_SLOTS: Int = 16
