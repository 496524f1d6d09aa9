/** Tests of the confinement of long prompts and of the choice of endpoints under it. */
package pistachiopass.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class LongPromptConfinementTest {
    private class Share(val heldShare: Double, val expectedCount: Int)

    @Test
    fun `the count grows immediately and shrinks one at a time with hysteresis`() {
        val confinement = longPromptConfinementOf()
        listOf(
            Share(0.0, expectedCount = 0),
            Share(0.03, expectedCount = 1),
            Share(0.036, expectedCount = 2),
            Share(0.03, expectedCount = 2),
            Share(0.025, expectedCount = 1),
            Share(0.25, expectedCount = 8),
            Share(0.18, expectedCount = 8),
            Share(0.0, expectedCount = 7),
            Share(0.0, expectedCount = 6),
            Share(1.0, expectedCount = 10),
        ).forEach {
            assertEquals(
                it.expectedCount,
                confinement.update(it.heldShare, endpoints = 10),
                "${it.heldShare}"
            )
        }
    }

    @Test
    fun `a larger set contains the smaller ones, regardless of the order in the table`() {
        val pool = poolOf(List(10) { endpoint("e$it") })
        val sets = (0..10).map { longPromptEndpoints(pool, HERE, it) }
        sets.zipWithNext { fewer, more -> assertTrue(more.containsAll(fewer)) }
        assertEquals(sets[4], longPromptEndpoints(poolOf(pool.endpoints.reversed()), HERE, 4))
        val changed = poolOf(pool.endpoints.drop(1))
        assertTrue((longPromptEndpoints(changed, HERE, 4) - sets[4]).size <= 1)
    }

    @Test
    fun `endpoints with more memory come first, and leaving or remote ones are skipped`() {
        val pool = poolOf(
            listOf(
                endpoint("small"),
                endpoint("large", budgetTokens = 900_000),
                endpoint("leaving", budgetTokens = 900_000).copy(state = EndpointState.LEAVING),
                endpoint("remote", budgetTokens = 900_000).copy(dataCentre = THERE),
            ),
        )
        assertEquals(listOf("large", "small"), longPromptEndpoints(pool, HERE, 4).map { it.value })
    }

    @Test
    fun `the count follows the held tokens, at most once a second`() {
        val time = TestTimeSource()
        val pool = poolOf(List(4) { endpoint("e$it") })
        val longPrompts = LongPromptEndpoints(HERE, time)
        fun countFor(vararg heldTokens: Long) = longPrompts.endpointsOf(pool) { heldTokens.toList() }.size
        assertEquals(0, countFor(4_000, 16_000))
        assertEquals(0, countFor(4_000, 200_000))
        time += 1_001.milliseconds
        assertEquals(4, countFor(4_000, 200_000))
        time += 1_001.milliseconds
        assertEquals(3, countFor(4_000))
    }

    private class Case(
        val name: String,
        val promptTokens: Long,
        val chosen: String?,
        val reasons: Map<String, CandidateReason>,
        val full: Set<String> = emptySet(),
        val silent: Set<String> = emptySet(),
    )

    @TestFactory
    fun `choices keep long and short prompts apart`() = listOf(
        Case(
            "a short prompt avoids the endpoint for long ones",
            promptTokens = 2_000,
            chosen = "b",
            reasons = mapOf("a" to CandidateReason.RESERVED_FOR_LONG),
        ),
        Case(
            "a short prompt goes to the endpoint for long ones if no other is eligible",
            promptTokens = 2_000,
            chosen = "a",
            full = setOf("b"),
            reasons = mapOf("b" to CandidateReason.FULL),
        ),
        Case(
            "a long prompt goes only to the endpoint for long ones",
            promptTokens = 20_000,
            chosen = "a",
            reasons = mapOf("b" to CandidateReason.RESERVED_FOR_SHORT),
        ),
        Case(
            "a long prompt waits for the endpoint for long ones if it is full",
            promptTokens = 20_000,
            chosen = null,
            full = setOf("a"),
            reasons = mapOf("a" to CandidateReason.FULL, "b" to CandidateReason.RESERVED_FOR_SHORT),
        ),
        Case(
            "a long prompt goes elsewhere if the endpoint for long ones does not answer",
            promptTokens = 20_000,
            chosen = "b",
            silent = setOf("a"),
            reasons = mapOf("a" to CandidateReason.UNREACHABLE),
        ),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            val loads = listOf("a", "b").associate { id ->
                val heldSlots = if (id in case.full) 16 else 0
                EndpointId(id) to EndpointLoad(reachable = id !in case.silent, heldSlots = heldSlots)
            }
            val choice = affinityChooser().choose(
                RequestMetadata("/", WorkspaceId("w"), promptTokens = case.promptTokens),
                poolOf(listOf(endpoint("a"), endpoint("b"))),
                FleetView(HERE, loads = loads, longPromptEndpoints = setOf(EndpointId("a"))),
            )
            assertEquals(case.chosen, choice.endpoint?.id?.value)
            val reasons = choice.candidates.associate { it.endpoint.value to it.reason }
            assertEquals(case.reasons, reasons.filterKeys { it in case.reasons })
        }
    }

    private companion object {
        val HERE = DataCentreId("here")
        val THERE = DataCentreId("there")

        fun endpoint(id: String, budgetTokens: Long = 300_000) =
            Endpoint(EndpointId(id), HERE, "", budgetTokens = budgetTokens)

        fun poolOf(endpoints: List<Endpoint>) = Pool(PoolName("p"), PoolKind.MODEL, endpoints)
    }
}
