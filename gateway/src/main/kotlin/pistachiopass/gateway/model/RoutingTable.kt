/** The routing table: routes, services, limits for callers and the API keys of workspaces. */
package pistachiopass.gateway.model

import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import pistachiopass.model.UnreadPart
import pistachiopass.model.WorkspaceId
import pistachiopass.shortage.NO_WORKSPACE
import pistachiopass.shortage.Rank
import pistachiopass.shortage.WorkspaceHash
import pistachiopass.shortage.rankOf
import pistachiopass.shortage.workspaceHashOf

/** Name of a service, the target of routes; the endpoints of one service are interchangeable. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** How often endpoints may execute one request. */
public enum class RunLimit {
    /** Any number of times. */
    REPEATABLE,

    /** A stream that another endpoint may resume after the last event. */
    RESUMABLE,

    /** At most once. */
    ONCE,
    ;

    /** Is true if a request that may have been executed may be sent again. */
    public val allowsRetry: Boolean get() = this != ONCE
}

/** One target of a route; [service] gets requests in proportion to [weight]. */
public data class WeightedService(val service: ServiceName, val weight: Double)

/** A route: which requests it matches, which services serve them, and within what time. */
public data class Route(
    val name: RouteName,
    val host: String,
    val pathPrefix: String,
    val services: List<WeightedService>,
    val runLimit: RunLimit,
    val isStream: Boolean,
    val isPublic: Boolean,
    /** Time after which the caller gets its final response, successful or not. */
    val timeoutMillis: Long,
    /** Target for the time to the response, or to the first event of a stream; a later one is worth less. */
    val targetLatencyMillis: Long,
    /** Target for the longest gap between two events of a stream; null if the route states none. */
    val gapTargetMillis: Long?,
    /** Priority of the route; 0 is the highest. A workspace's priority takes precedence. */
    val priority: Int,
    /** Largest number of endpoints that may execute one request. */
    val attemptsMax: Int,
    /** Whether the route is public or it cannot be read whether it is. */
    val mayBePublic: Boolean = isPublic,
)

/** The common properties of a service's endpoints. */
public data class Service(
    val name: ServiceName,
    /** Requests per second that one endpoint can take during its cold start; 0 if the service has no cold start. */
    val coldRequestsPerSecond: Double,
    /** Null if the endpoints are not model engines. */
    val engine: EngineSpeeds?,
    /** Whether the endpoints may be model engines whose speeds cannot be read. */
    val mayHaveEngine: Boolean = false,
)

/**
 * Published speeds and sizes of the model engines of a service.
 *
 * [slots] is the batch size and [memoryTokens] the size of the KV cache. A decode step takes [stepMillis], plus
 * [perSequenceMillis] for each request that is being decoded and [perThousandContextMillis] for each 1,000 tokens of
 * their contexts.
 */
public data class EngineSpeeds(
    val slots: Int,
    val memoryTokens: Long,
    /** Decode steps that the engine runs in one pass of its scheduler while any request is being decoded. */
    val decodeStepsPerPass: Int,
    val stepMillis: Double,
    val perSequenceMillis: Double,
    val perThousandContextMillis: Double,
    val prefillTokensPerMillis: Double,
    /** Prefill time for a million pairs of a prompt token and an earlier token, in addition to the time per token. */
    val millionPairsMillis: Double,
)

/**
 * Limits for the size of a caller's request and for the time without activity on a connection.
 *
 * [headerTimeoutMillis] applies while the body of a request is read, [idleTimeoutMillis] while no request is read or
 * served.
 */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
    /** Whether these are the published limits; a caller who exceeds others may be within those that are in force. */
    val areConfirmed: Boolean = true,
)

/** Limits for callers where none are published, or none that can be read. */
public val DEFAULT_CALLER_LIMITS: CallerLimits = CallerLimits(
    headerBytes = 16 * 1024,
    bodyBytes = 4 * 1024 * 1024,
    headerTimeoutMillis = 3_000,
    idleTimeoutMillis = 15_000,
    areConfirmed = false,
)

/** What of a published routing table could not be read. */
public data class TableGaps(
    /** The parts that could not be read. */
    val parts: List<UnreadPart> = emptyList(),
    /** Whether the table does not say which version it is. */
    val lacksVersion: Boolean = false,
    /** Whether API keys may be listed that are not known here. */
    val mayLackKeys: Boolean = false,
    val routes: List<RouteGap> = emptyList(),
) {
    /**
     * Returns true if a route that could not be read may be the one for [host] and [path]: it may match them, and the
     * [known] route that does has a shorter prefix or is null.
     */
    public fun mayHaveRoute(host: String, path: String, known: Route?): Boolean {
        val knownLength = known?.pathPrefix?.length ?: -1
        return routes.any { it.mayMatch(host, path) && (it.pathPrefix?.length ?: 0) > knownLength }
    }
}

/** A route that cannot be used, since its [host] or its [pathPrefix] could not be read; null where unknown. */
public data class RouteGap(val name: RouteName?, val host: String?, val pathPrefix: String?) {
    /** Returns true if the route may match requests for [host] and [path]. */
    public fun mayMatch(host: String, path: String): Boolean =
        this.host?.equals(host, ignoreCase = true) != false && pathPrefix?.let(path::startsWith) != false
}

/** The workspace of each API key, and the priorities of the workspaces that state one. */
public class Workspaces(
    internal val byApiKey: Map<String, WorkspaceId>,
    internal val priorities: Map<WorkspaceId, Int> = emptyMap(),
)

/** A published routing table, which the platform calls configuration; newer ones have a higher [version]. */
public class RoutingTable(
    public val version: TableVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, Service>,
    public val limits: CallerLimits,
    /** Null if the table has no workspaces, so that no key is needed. */
    private val workspaces: Workspaces?,
    public val gaps: TableGaps = TableGaps(),
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val hashByWorkspace: Map<WorkspaceId, WorkspaceHash> =
        workspaces?.byApiKey.orEmpty().entries.groupBy({ it.value }, { it.key })
            .mapValues { (workspace, keys) -> workspaceHashOf(workspace, keys.min()) }
    private val shortestTimeoutByService: Map<ServiceName, Long?> =
        services.keys.associateWith { service -> routesTo(service).minOfOrNull { it.timeoutMillis } }
    private val ranksByService: Map<ServiceName, Set<Rank>> = services.keys.associateWith(::possibleRanks)

    private val gapTargetMinByService: Map<ServiceName, Long> =
        routes.flatMap { route -> route.services.map { it.service to (route.gapTargetMillis ?: 0) } }
            .filter { it.second > 0 }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, targets) -> targets.min() }

    /** Returns the shortest gap target of the streams of [service], in milliseconds; 0 if there is none. */
    public fun gapTargetMinMillis(service: ServiceName): Long = gapTargetMinByService[service] ?: 0

    /** Is true if requests on routes that are not public need an API key. */
    public val requiresApiKey: Boolean get() = workspaces != null

    /** Returns the route of [host] with the longest path prefix that matches [path], or null. */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /**
     * Returns this table with what an earlier one, [held], tells of the parts that could not be read: the host and the
     * prefix of a route, whose requests are refused, and the speeds of engines, which are only used for forecasts.
     */
    public fun withGapsNarrowedBy(held: RoutingTable): RoutingTable {
        val services = services.mapValues { (name, service) ->
            if (service.mayHaveEngine) service.copy(engine = held.services[name]?.engine) else service
        }
        val routeGaps = gaps.routes.map { gap ->
            val route = held.routes.find { it.name == gap.name }
            val heldGap = held.gaps.routes.find { it.name != null && it.name == gap.name }
            RouteGap(
                gap.name,
                gap.host ?: route?.host ?: heldGap?.host,
                gap.pathPrefix ?: route?.pathPrefix ?: heldGap?.pathPrefix,
            )
        }
        val narrowed = gaps.copy(routes = routeGaps)
        return RoutingTable(version, routes, services, limits, workspaces, narrowed)
    }

    /** Returns the workspace of the API key [key], or null. */
    public fun workspaceOrNull(key: String): WorkspaceId? = workspaces?.byApiKey?.get(key)

    /** Returns the rank of the requests of [workspace] on [route]; a workspace that is null or unknown states none. */
    public fun rankOf(route: Route, workspace: WorkspaceId?): Rank =
        rankOf(route.priority, workspace?.let { workspaces?.priorities?.get(it) })

    /** Returns the hash of [workspace], which is the same at all instances; one without a key counts as none. */
    public fun workspaceHashOf(workspace: WorkspaceId?): WorkspaceHash = hashByWorkspace[workspace] ?: NO_WORKSPACE

    /** Returns the ranks that requests to [service] can have; none if no route leads to it. */
    public fun ranksOf(service: ServiceName): Set<Rank> = ranksByService[service].orEmpty()

    /** Returns the shortest timeout of the routes to [service], in milliseconds, or null if no route leads to it. */
    public fun shortestTimeoutMillisOrNull(service: ServiceName): Long? = shortestTimeoutByService[service]

    private fun routesTo(service: ServiceName): List<Route> =
        routes.filter { route -> route.services.any { it.service == service && it.weight > 0 } }

    /** A route that is public or needs no key also gets requests without a workspace. */
    private fun possibleRanks(service: ServiceName): Set<Rank> {
        val ids = workspaces?.byApiKey?.values.orEmpty().toSet()
        return routesTo(service).flatMapTo(HashSet()) { route ->
            val mayLackWorkspace = route.isPublic || workspaces == null
            ids.map { rankOf(route, it) } + listOfNotNull(rankOf(route, null).takeIf { mayLackWorkspace })
        }
    }
}
