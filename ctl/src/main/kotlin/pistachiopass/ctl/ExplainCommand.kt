/** `pistachioctl explain`: shows where a request would go and why, by the code that the daemon runs. */
package pistachiopass.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonPrimitive
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.ModelName
import pistachiopass.model.Pool
import pistachiopass.model.PoolName
import pistachiopass.model.PoolsTable
import pistachiopass.model.RouteName
import pistachiopass.model.RoutesTable
import pistachiopass.model.WorkspaceId
import pistachiopass.routing.Candidate
import pistachiopass.routing.CandidateReason
import pistachiopass.routing.EndpointLoad
import pistachiopass.routing.FleetView
import pistachiopass.routing.RequestMetadata
import pistachiopass.routing.affinityChooser
import pistachiopass.routing.routeOrNull
import pistachiopass.tables.hasErrors

/** Says where a request would go in a warm and idle fleet. */
@Serializable
internal data class Explanation(
    val route: RouteName? = null,
    val pool: PoolName? = null,
    /** Data centre of the instance that would receive the request. */
    val dataCentre: DataCentreId,
    val endpoint: EndpointId? = null,
    val candidates: List<Candidate> = emptyList(),
)

/** Returns where a request that arrives in [dataCentre] would go, if all endpoints are warm and idle. */
internal fun explain(
    routes: RoutesTable,
    pools: PoolsTable,
    metadata: RequestMetadata,
    dataCentre: DataCentreId,
): Explanation {
    val route = routes.routeOrNull(metadata)
    val pool = pools.pools.firstOrNull { it.name == route?.pool }
    val choice = pool?.let { affinityChooser().choose(metadata, it, idleView(it, pools, dataCentre)) }
    return Explanation(route?.name, route?.pool, dataCentre, choice?.endpoint?.id, choice?.candidates.orEmpty())
}

private fun idleView(
    pool: Pool,
    pools: PoolsTable,
    dataCentre: DataCentreId,
): FleetView = FleetView(dataCentre, pools.dataCentresOut, pool.endpoints.associate { it.id to EndpointLoad() })

/** Prints the route, the pool, the candidates in order of preference with their reasons, and the choice. */
internal class ExplainCommand(console: Console) : Command("explain", "Show where a request would go and why", console) {
    private val routes by option(ArgType.String, "routes", description = "Routes table file").required()
    private val pools by option(ArgType.String, "pools", description = "Pools table file").required()
    private val instances by option(ArgType.String, "instances", description = "Instance list file")
    private val path by option(ArgType.String, "path", description = "Path of the request").required()
    private val model by option(ArgType.String, "model", description = "Model of the request")
    private val workspace by option(ArgType.String, "workspace", description = "Workspace of the caller").required()
    private val promptTokens by option(ArgType.Int, "prompt-tokens", description = "Length of the prompt").default(0)
    private val dataCentre by option(
        ArgType.String,
        "data-centre",
        description = "Data centre where the request arrives; else that of the first instance or endpoint",
    )

    override fun run(): Int {
        val files = readTableFiles(routes, pools, instances)
        val problems = files.problems()
        problems.forEach { console.printError(it.toString()) }
        val routesTable = files.routes.value
        val poolsTable = files.pools.value
        if (routesTable == null || poolsTable == null || problems.hasErrors()) return EXIT_PROBLEMS
        val known =
            files.instances?.value?.instances.orEmpty().map { it.dataCentre } +
                poolsTable.pools.flatMap { it.endpoints }.map { it.dataCentre }
        return explainIn(routesTable, poolsTable, known.distinct())
    }

    private fun explainIn(
        routesTable: RoutesTable,
        poolsTable: PoolsTable,
        known: List<DataCentreId>,
    ): Int {
        val arrival = dataCentre?.let(::DataCentreId) ?: known.firstOrNull() ?: DataCentreId("")
        val mistake =
            when {
                arrival !in known -> "--data-centre $arrival: expected one of ${known.joinToString()}"
                promptTokens < 0 -> "--prompt-tokens $promptTokens: expected zero or a number above zero"
                else -> null
            }
        mistake?.let(console::printError)
        return if (mistake == null) print(explain(routesTable, poolsTable, metadata(), arrival)) else EXIT_USAGE
    }

    private fun metadata(): RequestMetadata =
        RequestMetadata(path, WorkspaceId(workspace), model?.let(::ModelName), promptTokens.toLong())

    private fun print(explanation: Explanation): Int {
        if (json) {
            console.printJson(Explanation.serializer(), explanation)
        } else {
            explanation.lines().forEach(console::print)
        }
        return if (explanation.endpoint == null) EXIT_PROBLEMS else EXIT_OK
    }
}

private fun Explanation.lines(): List<String> =
    listOf(
        "route: ${route ?: "none matches"}",
        "pool: ${pool ?: "none"}",
        "arrives in: $dataCentre",
        "endpoint: ${endpoint ?: "none"} (all endpoints taken as warm and idle)",
    ) + candidates.map { "  ${it.endpoint}: ${it.reason.text()}" }

/** Returns the reason as it also stands in JSON. */
private fun CandidateReason.text(): String =
    Json.encodeToJsonElement(CandidateReason.serializer(), this).jsonPrimitive.content
