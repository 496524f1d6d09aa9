/** Tests the prefill backlog ahead of a new prompt and the number of decoded requests as requests come and end. */
package pistachiopass.gateway.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.model.EndpointId
import kotlin.test.assertEquals

private class Scenario(
    val name: String,
    val backlogMillis: Double,
    val decodingRequests: Int,
    val run: OneEngine.() -> Unit,
) {
    /** Requests at one engine in virtual time. */
    class OneEngine {
        var nowMillis = 0L
        val load = FleetLoad { nowMillis }
        val engine = EndpointIncarnation(EndpointId("e1"), bornMillis = 1)

        fun place(prefillMillis: Double, isOwn: Boolean = true): PlacedWork =
            load.add(
                WorkEstimate(engine, prefillMillis, decodeMillis = 500.0, contextTokens = 100, gapTargetMillis = 200),
                isOwn
            )
    }

    override fun toString(): String = name
}

class FleetLoadTest {
    @TestFactory
    fun `the backlog and the decoded requests follow the requests at an endpoint`(): List<DynamicTest> = casesOf(
        listOf(
            Scenario("two prompts add up", backlogMillis = 300.0, decodingRequests = 2) {
                place(100.0)
                place(200.0)
            },
            Scenario("the backlog shrinks with time", backlogMillis = 60.0, decodingRequests = 1) {
                place(100.0)
                nowMillis = 40
            },
            Scenario("a request that ends early takes its prefill along", backlogMillis = 100.0, decodingRequests = 1) {
                place(100.0)
                load.end(place(2_800.0))
            },
            Scenario("a request that was sent three times counts once", backlogMillis = 2_800.0, decodingRequests = 1) {
                repeat(2) { load.end(place(2_800.0)) }
                place(2_800.0)
            },
            Scenario("a request of another instance ends by its forecast", backlogMillis = 0.0, decodingRequests = 0) {
                place(100.0, isOwn = false)
                nowMillis = 601
            },
            Scenario("a request of this instance counts until it ends", backlogMillis = 0.0, decodingRequests = 1) {
                place(100.0)
                nowMillis = 5_000
            },
        ),
    ) { scenario ->
        val engine = Scenario.OneEngine().also { scenario.run(it) }
        val work = engine.load.at(engine.engine)
        assertEquals(scenario.backlogMillis, work.backlogMillis(engine.nowMillis))
        assertEquals(scenario.decodingRequests, work.decodingRequests)
    }
}
