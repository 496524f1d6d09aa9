/** Shows what reading is known to be ahead of a new prompt as requests come, are read and end. */
package pistachiopass.gateway.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.Incarnation
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
        val engine = Incarnation(EndpointId("e1"), bornMillis = 1)

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
    fun `what is ahead of a new prompt`(): List<DynamicTest> = casesOf(
        listOf(
            Scenario("two prompts add up", backlogMillis = 300.0, decodingRequests = 2) {
                place(100.0)
                place(200.0)
            },
            Scenario("reading drains in time", backlogMillis = 60.0, decodingRequests = 1) {
                place(100.0)
                nowMillis = 40
            },
            Scenario("a request that ends unread takes its reading along", backlogMillis = 100.0, decodingRequests = 1) {
                place(100.0)
                load.end(place(2_800.0))
            },
            Scenario("a request that was sent three times counts once", backlogMillis = 2_800.0, decodingRequests = 1) {
                repeat(2) { load.end(place(2_800.0)) }
                place(2_800.0)
            },
            Scenario("another instance's request ends by its forecast", backlogMillis = 0.0, decodingRequests = 0) {
                place(100.0, isOwn = false)
                nowMillis = 601
            },
            Scenario("an own request stays until it ends", backlogMillis = 0.0, decodingRequests = 1) {
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
