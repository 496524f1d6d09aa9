/** Tests of rendezvous hashing, of route matching and of the choice of an endpoint. */
package pistachiopass.routing

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.ModelName
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.Route
import pistachiopass.model.RouteMatch
import pistachiopass.model.RouteName
import pistachiopass.model.RoutesTable
import pistachiopass.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RoutingTest {
    @Test
    fun `a leaving member moves only its own keys`() {
        val members = List(8) { "m$it" }
        val keys = List(2_000) { "k$it" }
        val before = keys.associateWith { key -> members.firstFor(key) { it } }
        val after = keys.associateWith { key -> (members - "m3").firstFor(key) { it } }
        assertTrue(keys.filter { before[it] != "m3" }.all { before[it] == after[it] })
        keys.forEach { key -> assertEquals(members.rankedFor(key) { it }.first(), before[key]) }
        val share = before.values.groupingBy { it }.eachCount()
        assertTrue(share.values.all { it in 150..350 }, "uneven shares: $share")
    }

    @ParameterizedTest
    @MethodSource("routeCases")
    fun `the first matching route applies`(case: RouteCase) {
        val table = RoutesTable(
            listOf(
                route("a", RouteMatch("/v1/chat", ModelName("m1"))),
                route("b", RouteMatch("/v1/chat", workspace = WorkspaceId("w2"))),
                route("c", RouteMatch("/pickups")),
            ),
        )
        assertEquals(case.expected, table.routeOrNull(case.metadata)?.name?.value)
    }

    @ParameterizedTest
    @MethodSource("choiceCases")
    fun `each candidate has its reason`(case: ChoiceCase) {
        val endpoint = Endpoint(
            EndpointId("e1"), DataCentreId("d1"), "127.0.0.1:1", case.state,
            budgetTokens = 1_000, slots = 4, coldBudgetTokens = 100, coldSlots = 1, models = listOf(ModelName("m1")),
        )
        val view = FleetView(DataCentreId("d1"), case.out, mapOf(endpoint.id to case.load))
        val choice = affinityChooser()
            .choose(case.metadata, Pool(PoolName("p"), PoolKind.MODEL, listOf(endpoint)), view)
        assertEquals(case.expected, choice.candidates.single().reason)
        assertEquals(case.expected == CandidateReason.CHOSEN, choice.endpoint != null)
    }

    class RouteCase(val metadata: RequestMetadata, val expected: String?)

    class ChoiceCase(
        val expected: CandidateReason,
        val load: EndpointLoad = EndpointLoad(),
        val state: EndpointState = EndpointState.ACTIVE,
        val out: Set<DataCentreId> = emptySet(),
        val metadata: RequestMetadata = metadata(promptTokens = 60),
    )

    companion object {
        private fun route(name: String, match: RouteMatch) = Route(RouteName(name), match, PoolName("p"))

        private fun metadata(
            promptTokens: Long = 0,
            model: String? = "m1",
            workspace: String = "w1",
            path: String = "/v1/chat",
        ) = RequestMetadata(path, WorkspaceId(workspace), model?.let(::ModelName), promptTokens)

        @JvmStatic
        fun routeCases() = listOf(
            RouteCase(metadata(), "a"),
            RouteCase(metadata(model = "m2", workspace = "w2"), "b"),
            RouteCase(metadata(model = "m2"), null),
            RouteCase(metadata(path = "/pickups/7", model = null), "c"),
        )

        @JvmStatic
        fun choiceCases() = listOf(
            ChoiceCase(CandidateReason.CHOSEN),
            ChoiceCase(CandidateReason.TOO_SMALL, metadata = metadata(promptTokens = 1_001)),
            ChoiceCase(CandidateReason.DATA_CENTRE_OUT, out = setOf(DataCentreId("d1"))),
            ChoiceCase(CandidateReason.LEAVING, state = EndpointState.LEAVING),
            ChoiceCase(CandidateReason.UNREACHABLE, EndpointLoad(reachable = false)),
            ChoiceCase(
                CandidateReason.FAILED_BEFORE,
                metadata = metadata(promptTokens = 60).copy(failedEndpoints = setOf(EndpointId("e1"))),
            ),
            ChoiceCase(CandidateReason.MODEL_MISSING, metadata = metadata(model = "m9")),
            ChoiceCase(CandidateReason.COLD_FULL, EndpointLoad(cold = true, heldSlots = 1)),
            ChoiceCase(CandidateReason.COLD_FULL, EndpointLoad(cold = true), metadata = metadata(promptTokens = 101)),
            ChoiceCase(CandidateReason.FULL, EndpointLoad(heldSlots = 4)),
            ChoiceCase(CandidateReason.FULL, EndpointLoad(heldTokens = 941)),
        )
    }
}
