/** Checks each kind of problem of the documents: its severity, its place and the value that was found. */
package pistachiopass.tables

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

class TableCheckTest {
    @ParameterizedTest
    @MethodSource("routesCases", "poolsCases", "instancesCases", "crossDocumentCases")
    fun `each problem is reported with its severity, place and value`(case: CheckCase) {
        val routes = readRoutesTable(case.routes)
        val pools = readPoolsTable(case.pools)
        val instances = readInstanceList(case.instances)
        val structureProblems = routes.problems + pools.problems + instances.problems
        val tables = listOf(routes.value, pools.value, instances.value)
        val valueProblems =
            if (null in tables) emptyList() else checkTables(routes.value!!, pools.value!!, instances.value)
        val found = (structureProblems + valueProblems)
            .map { "${it.severity.text} ${it.document} ${it.place} = ${it.value}" }
        assertEquals(case.expected.sorted(), found.sorted(), case.toString())
    }

    data class CheckCase(
        val title: String,
        val expected: List<String>,
        val routes: String = ROUTES,
        val pools: String = POOLS,
        val instances: String = INSTANCES,
    ) {
        override fun toString(): String = title
    }

    companion object {
        private const val ROUTES =
            """{"routes":[{"name":"ask","match":{"pathPrefix":"/v1/"},"pool":"drape"},
            {"name":"book","match":{"pathPrefix":"/pickups"},"pool":"desk","idempotent":false}]}"""
        private const val E1 = """{"id":"e1","dataCentre":"detroit","address":"127.0.0.1:9001","budgetTokens":100}"""
        private const val J1 = """{"id":"j1","dataCentre":"detroit","address":"[::1]:9001"}"""
        private const val POOLS =
            """{"pools":[{"name":"drape","kind":"model","endpoints":[$E1]},
            {"name":"desk","kind":"plain","endpoints":[$J1]}]}"""
        private const val I1 =
            """{"id":"i1","dataCentre":"detroit","httpAddress":"10.0.0.1:80","peerAddress":"entry-1.example:81"}"""
        private const val INSTANCES = """{"instances":[$I1]}"""

        private fun changedRoute(fields: String): String =
            ROUTES.replace(""""pool":"drape"""", fields)

        private fun twoRoutes(match: String, pool: String = "desk"): String =
            """{"routes":[{"name":"a","match":{"pathPrefix":"/v1/","model":"m"},"pool":"drape"},
            {"name":"b","match":$match,"pool":"$pool"}]}"""

        private fun changedPools(vararg changes: Pair<String, String>): String =
            changes.fold(POOLS) { text, (from, to) -> text.replace(from, to) }

        private fun case(title: String, vararg expected: String): CheckCase = CheckCase(title, expected.toList())

        private val malformedAddresses =
            listOf("", "127.0.0.1", "127.0.0.256:1", "1.2.3:80", "h:0", "h:65536", "h:+1", "::1:80", "a b:1", "-h:1")

        @JvmStatic
        fun routesCases(): List<CheckCase> =
            listOf(
                case("valid documents"),
                case("not JSON", "error routes  = text that cannot be parsed").copy(routes = "{\"routes\":[}"),
                case("too long", "error routes  = 1000001 bytes").copy(routes = " ".repeat(DOCUMENT_BYTES_MAX + 1)),
                case("not an object", "error routes  = []").copy(routes = "[]"),
                case(
                    "unknown fields, wrong types and missing fields together",
                    "error routes routes[0].match.pathPrefix = 7",
                    "error routes routes[0].pool = null",
                    "error routes routes[0].poool = \"drape\"",
                    "error routes routes[0].timeoutMillis = \"60\"",
                    "error routes routes[1] = 1",
                ).copy(
                    routes =
                    """{"routes":[{"name":"ask","match":{"pathPrefix":7},"poool":"drape","timeoutMillis":"60"},1]}""",
                ),
                case(
                    "an unknown field does not hide other problems",
                    "error routes routes[0].retries = 3",
                    "error routes routes[0].timeoutMillis = 0",
                    "error routes routes[0].firstTokenTimeoutMillis = 0",
                ).copy(routes = changedRoute(""""pool":"drape","retries":3,"timeoutMillis":0""")),
                case("first-token time-out above the time-out", "error routes routes[0].firstTokenTimeoutMillis = 9")
                    .copy(routes = changedRoute(""""pool":"drape","timeoutMillis":8,"firstTokenTimeoutMillis":9""")),
                case("fraction", "error routes routes[0].timeoutMillis = 1.5")
                    .copy(routes = changedRoute(""""pool":"drape","timeoutMillis":1.5""")),
                case("relative path", "error routes routes[1].match.pathPrefix = \"pickups\"")
                    .copy(routes = ROUTES.replace("/pickups", "pickups")),
                case("duplicate route", "error routes routes[1].name = ask")
                    .copy(routes = ROUTES.replace("book", "ask")),
                case("blank name", "error routes routes[1].name = \" \"").copy(routes = ROUTES.replace("book", " ")),
                case("shadowed route", "error routes routes[1].match = path /v1/chat, model m, workspace w")
                    .copy(routes = twoRoutes("""{"pathPrefix":"/v1/chat","model":"m","workspace":"w"}""")),
                case("specific route before a general one").copy(routes = twoRoutes("""{"pathPrefix":"/"}""")),
                case("partial overlap", "warning routes routes[1].match = path /v1/, workspace w")
                    .copy(routes = twoRoutes("""{"pathPrefix":"/v1/","workspace":"w"}""")),
                case("partial overlap, same pool")
                    .copy(routes = twoRoutes("""{"pathPrefix":"/v1/","workspace":"w"}""", pool = "drape")),
            )

        @JvmStatic
        fun poolsCases(): List<CheckCase> =
            listOf(
                case("unknown kind", "error pools pools[0].kind = \"engine\"")
                    .copy(pools = changedPools("model" to "engine")),
                case("cold budget above the budget", "error pools pools[0].endpoints[0].coldBudgetTokens = 101")
                    .copy(pools = changedPools("""Tokens":100""" to """Tokens":100,"coldBudgetTokens":101""")),
                case("cold slots above slots", "error pools pools[0].endpoints[0].coldSlots = 17")
                    .copy(pools = changedPools("""Tokens":100""" to """Tokens":100,"coldSlots":17""")),
                case(
                    "numbers that are not positive",
                    "error pools pools[0].endpoints[0].budgetTokens = 0",
                    "error pools pools[0].endpoints[0].coldBudgetTokens = 0",
                    "error pools pools[0].endpoints[0].coldSlots = 0",
                    "error pools pools[0].endpoints[0].slots = -1",
                    "error pools pools[0].endpoints[0].coldSlots = 0",
                ).copy(pools = changedPools("""Tokens":100""" to """Tokens":0,"slots":-1,"coldSlots":0""")),
                case("duplicate pool", "error pools pools[1].name = drape", "error routes routes[1].pool = desk")
                    .copy(pools = changedPools("desk" to "drape")),
                case(
                    "one id with two addresses and data centres",
                    "error pools pools[1].endpoints[0].address = [::1]:9001",
                    "error pools pools[1].endpoints[0].dataCentre = cleveland",
                    "error pools pools[1].endpoints[0].id = e1",
                    "warning instances instances = no live instance in cleveland",
                ).copy(pools = changedPools(""""j1","dataCentre":"detroit"""" to """"e1","dataCentre":"cleveland"""")),
                case("one address with two ids", "error pools pools[1].endpoints[0].address = 127.0.0.1:9001")
                    .copy(pools = changedPools("[::1]" to "127.0.0.1")),
                case("empty pool", "warning pools pools[1].endpoints = none").copy(pools = changedPools(J1 to "")),
                case(
                    "unknown data centre out, and all data centres out",
                    "error pools dataCentresOut[1] = clevland",
                    "warning pools dataCentresOut = detroit, clevland",
                ).copy(pools = """{"dataCentresOut":["detroit","clevland"],${POOLS.drop(1)}"""),
            ) + malformedAddresses
                .map { address ->
                    case("address $address", "error pools pools[0].endpoints[0].address = \"$address\"")
                        .copy(pools = changedPools("127.0.0.1:9001" to address))
                }

        @JvmStatic
        fun instancesCases(): List<CheckCase> =
            listOf(
                case(
                    "duplicates",
                    "error instances instances[1].httpAddress = 10.0.0.1:80",
                    "error instances instances[1].id = i1",
                    "error instances instances[1].peerAddress = entry-1.example:81",
                ).copy(instances = """{"instances":[$I1,$I1]}"""),
                case(
                    "no live instance",
                    "warning instances instances = no live instance in detroit",
                    "warning instances instances = no live instance",
                ).copy(instances = INSTANCES.replace("}]", ""","state":"leaving"}]""")),
            )

        @JvmStatic
        fun crossDocumentCases(): List<CheckCase> =
            listOf(
                case("unknown pool", "error routes routes[0].pool = drapes")
                    .copy(routes = changedRoute(""""pool":"drapes"""")),
                case("non-idempotent route to a model pool", "warning routes routes[0].idempotent = false")
                    .copy(routes = changedRoute(""""pool":"drape","idempotent":false""")),
                case("model not served", "warning routes routes[0].match.model = m")
                    .copy(
                        routes = twoRoutes("""{"pathPrefix":"/"}"""),
                        pools = changedPools(":100" to """:100,"models":["n"]""")
                    ),
                case("instance at an endpoint's address", "error instances instances[0].httpAddress = 127.0.0.1:9001")
                    .copy(instances = INSTANCES.replace("10.0.0.1:80", "127.0.0.1:9001")),
            )
    }
}
