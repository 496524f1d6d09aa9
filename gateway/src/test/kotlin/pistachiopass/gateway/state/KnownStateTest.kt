/** Shows that beliefs never go back, and which endpoints may get new work. */
package pistachiopass.gateway.state

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.tableItem
import pistachiopass.gateway.tableOf
import pistachiopass.model.DataCentreId
import kotlin.test.assertEquals

private class Case(
    val name: String,
    val expected: String,
    val run: Scenario.() -> Unit,
) {
    override fun toString(): String = name
}

/** Plays changes on beliefs in virtual time. */
private class Scenario {
    var nowMillis = 0L
    val knownState = knownStateOf({ nowMillis })

    fun changes(vararg items: StateItem) =
        knownState.applyChanges(StateSnapshot(items.maxOf { it.revision }, items.asList()))

    fun all(revision: Long, vararg items: StateItem) =
        knownState.applyAll(StateSnapshot(Revision(revision), items.asList()))

    fun evacuation(revision: Long, isOut: Boolean) =
        changes(StateItem.Evacuation(Revision(revision), DataCentreId("a"), isOut))

    /** Returns the version in force and the usable endpoints. */
    fun outcome(): String {
        val ids = knownState.endpoints.of(ASSISTANT).map { it.id.value }.sorted()
        return "v${knownState.table?.version ?: "-"} $ids"
    }
}

class KnownStateTest {
    private val published = listOf(
        Case("an endpoint is listed", "v- [e1]") { changes(endpointItem(2, "e1", endpointOf("e1"))) },
        Case("an older change of an endpoint is ignored", "v- []") {
            changes(endpointItem(5, "e1", null))
            changes(endpointItem(4, "e1", endpointOf("e1")))
        },
        Case("a draining endpoint gets no work", "v- []") {
            changes(endpointItem(2, "e1", endpointOf("e1")))
            changes(endpointItem(3, "e1", endpointOf("e1", isDraining = true)))
        },
        Case("an entry that cannot be read names no endpoint, the others hold", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2")))
            changes(endpointItem(4, "e1", null, problem = "state"))
        },
        Case("a lower version of the configuration is ignored", "v7 []") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(tableItem(3, tableOf(6, listOf(routeOf("/a/")))))
        },
        Case("an unreadable configuration leaves the last one in force", "v7 []") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(StateItem.Table(Revision(3), table = null, problem = "malformed"))
        },
        Case("an evacuated data centre gets no work", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2", "b")))
            evacuation(4, isOut = true)
        },
        Case("a data centre that is taken back gets work", "v- [e1]") {
            changes(endpointItem(2, "e1", endpointOf("e1")))
            evacuation(4, isOut = true)
            evacuation(5, isOut = false)
        },
    )

    private val removed = listOf(
        Case("what a full read no longer lists is gone", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2")))
            all(9, endpointItem(3, "e2", endpointOf("e2")))
        },
        Case("a full read does not remove what was listed after it", "v- [e1, e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(12, "e2", endpointOf("e2")))
            all(9, endpointItem(2, "e1", endpointOf("e1")))
        },
        Case("an entry that lapsed while the store was away is used for a moment", "v- [e1]") {
            storeReturns()
            nowMillis += 1_400
        },
        Case("an entry that lapsed and does not come back is gone", "v- []") {
            storeReturns()
            nowMillis += 1_600
            knownState.endpoints.expireMissing()
        },
        Case("an entry that is removed while the store is sound is gone at once", "v- []") {
            knownState.freshness.confirmedByStore(0)
            changes(endpointItem(2, "e1", endpointOf("e1")))
            nowMillis += 1_000
            knownState.freshness.confirmedByStore(1_000)
            changes(endpointItem(3, "e1", null))
        },
    )

    @TestFactory
    fun `what is in force after changes`(): List<DynamicTest> = casesOf(published + removed) { case ->
        val scenario = Scenario()
        case.run(scenario)
        assertEquals(case.expected, scenario.outcome())
    }

    private fun Scenario.storeReturns() {
        knownState.freshness.confirmedByStore(0)
        changes(endpointItem(2, "e1", endpointOf("e1")))
        nowMillis += 6_000
        knownState.freshness.confirmedByStore(6_000)
        changes(endpointItem(3, "e1", null))
    }

    @TestFactory
    fun `an endpoint is usable only in the life in which it was placed`(): List<DynamicTest> =
        casesOf(listOf(1L to true, 2L to false)) { (bornMillis, isUsable) ->
            val scenario = Scenario()
            scenario.changes(endpointItem(2, "e1", endpointOf("e1", bornMillis = 1)))
            val placed = scenario.knownState.endpoints.of(ASSISTANT).single()
            scenario.changes(endpointItem(3, "e1", endpointOf("e1", bornMillis = bornMillis)))
            assertEquals(isUsable, scenario.knownState.endpoints.isUsable(placed))
        }
}
