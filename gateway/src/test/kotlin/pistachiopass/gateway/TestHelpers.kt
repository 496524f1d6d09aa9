/** Test helpers: tests from lists of cases, and factory functions for published state. */
package pistachiopass.gateway

import org.junit.jupiter.api.DynamicTest
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
import pistachiopass.gateway.model.TableGaps
import pistachiopass.gateway.model.WeightedService
import pistachiopass.gateway.model.Workspaces
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.RouteName
import pistachiopass.model.TableVersion
import pistachiopass.model.WorkspaceId
import pistachiopass.published.Revision

/** Returns one test for each of [cases]. */
internal fun <T> casesOf(cases: List<T>, check: (T) -> Unit): List<DynamicTest> =
    cases.mapIndexed { index, case -> DynamicTest.dynamicTest("$index: $case") { check(case) } }

internal val ASSISTANT = ServiceName("assistant")

internal fun routeOf(
    prefix: String,
    targetLatencyMillis: Long = 300,
    gapTargetMillis: Long? = 200,
    isPublic: Boolean = false,
    priority: Int = 1,
): Route = Route(
    RouteName("route-$prefix"),
    "host.example",
    prefix,
    listOf(WeightedService(ASSISTANT, 1.0)),
    RunLimit.RESUMABLE,
    isStream = true,
    isPublic,
    timeoutMillis = 10_000,
    targetLatencyMillis,
    gapTargetMillis,
    priority,
    attemptsMax = 2,
)

internal val SPEEDS = EngineSpeeds(
    slots = 11,
    memoryTokens = 450_000,
    decodeStepsPerPass = 46,
    stepMillis = 0.925,
    perSequenceMillis = 0.007,
    perThousandContextMillis = 0.00254,
    prefillTokensPerMillis = 256.0,
    millionPairsMillis = 0.0917,
)

internal fun serviceOf(engine: EngineSpeeds? = SPEEDS): Service =
    Service(ASSISTANT, coldRequestsPerSecond = 38.0, engine)

internal fun tableOf(
    version: Long,
    routes: List<Route>,
    keys: Map<String, String>? = null,
    priorities: Map<String, Int> = emptyMap(),
    gaps: TableGaps = TableGaps(),
): RoutingTable = RoutingTable(
    TableVersion(version),
    routes,
    (routes.flatMap { it.services }.map { it.service } + ASSISTANT).associateWith { serviceOf().copy(name = it) },
    CallerLimits(16_384, 4_194_304, 3_000, 15_000),
    keys?.let { Workspaces(it.mapValues { (_, id) -> WorkspaceId(id) }, priorities.mapKeys { WorkspaceId(it.key) }) },
    gaps,
)

internal fun tableItem(revision: Long, table: RoutingTable): StateItem =
    StateItem.Table(Revision(revision), table, problem = null)

internal fun endpointOf(
    id: String,
    dataCentre: String = "a",
    isDraining: Boolean = false,
    bornMillis: Long = 1,
    coldMillis: Long = 0,
): PublishedEndpoint = PublishedEndpoint(
    EndpointIncarnation(EndpointId(id), bornMillis),
    ASSISTANT,
    Address("10.0.0.1", 80),
    DataCentreId(dataCentre),
    slots = 11,
    isDraining,
    coldMillis,
)

internal fun endpointItem(
    revision: Long,
    id: String,
    endpoint: PublishedEndpoint?,
    problem: String? = null,
): StateItem =
    StateItem.Endpoint(Revision(revision), EndpointId(id), endpoint, problem)
