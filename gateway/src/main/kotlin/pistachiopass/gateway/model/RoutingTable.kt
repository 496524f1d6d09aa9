/** The configuration in force: routes, services, callers' limits and the keys of workspaces. */
package pistachiopass.gateway.model

import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import pistachiopass.model.WorkspaceId

/** Names a service that routes lead to; the endpoints of one service are interchangeable. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Says how often the endpoints may run one request. */
public enum class RunLimit {
    /** Any number of times. */
    REPEATABLE,

    /** A stream that another endpoint may continue after the last event. */
    RESUMABLE,

    /** At most once. */
    ONCE,
    ;

    /** Is true if a request that may have run may be sent again. */
    public val allowsRetry: Boolean get() = this != ONCE
}

/** Gives [service] its share of a route's requests by [weight]. */
public data class WeightedService(val service: ServiceName, val weight: Int)

/** Describes one route: what it matches, where its requests go and within what time. */
public data class Route(
    val name: RouteName,
    val host: String,
    val pathPrefix: String,
    val services: List<WeightedService>,
    val runLimit: RunLimit,
    val isStream: Boolean,
    val isPublic: Boolean,
    /** Time after which the caller gets its final answer, whatever it is. */
    val timeoutMillis: Long,
    /** Time within which the answer, or the first event of a stream, is worth most. */
    val targetLatencyMillis: Long,
    /** Longest pause between two events of a stream that is still on time; null if the route states none. */
    val gapTargetMillis: Long?,
    /** Rank of the route; 0 is the highest. */
    val priority: Int,
    /** Endpoints that may run one request. */
    val attemptsMax: Int,
)

/** Describes the endpoints of one service. */
public data class Service(
    val name: ServiceName,
    /** Requests a second that one cold endpoint bears; 0 if the service has no cold start. */
    val coldRequestsPerSecond: Double,
    /** Published speeds of model engines; null for plain services. */
    val engine: EngineSpeeds?,
)

/** Published speeds and sizes of the model engines of a service. */
public data class EngineSpeeds(
    val slots: Int,
    val memoryTokens: Long,
    /** Token steps that one pass runs while any request writes. */
    val decodeStepsPerPass: Int,
    val stepMillis: Double,
    val perSequenceMillis: Double,
    val perThousandContextMillis: Double,
    val prefillTokensPerMillis: Double,
    /** Time for a million pairs of a prompt token and an earlier one. */
    val millionPairsMillis: Double,
)

/** Bounds on what a caller may send and for how long it may stay silent. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** One published configuration; [version] only rises. */
public class RoutingTable(
    public val version: TableVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, Service>,
    public val limits: CallerLimits,
    /** Workspace of each key; null if the configuration names no workspaces, so that no key is needed. */
    private val workspaceByApiKey: Map<String, WorkspaceId>?,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Is true if requests on routes that are not public need a key. */
    public val requiresApiKey: Boolean get() = workspaceByApiKey != null

    /** Returns the route of [host] with the longest prefix of [path], or null. */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the workspace that holds [key], or null. */
    public fun workspaceOrNull(key: String): WorkspaceId? = workspaceByApiKey?.get(key)
}
