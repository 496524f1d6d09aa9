/** Tests that known state never goes back, and which endpoints may get new requests. */
package pistachiopass.gateway.state

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.model.TableGaps
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.tableItem
import pistachiopass.gateway.tableOf
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.published.PublishedChanges
import pistachiopass.published.PublishedItem
import pistachiopass.published.Revision
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

private class Case(
    val name: String,
    val expected: String,
    val run: Scenario.() -> Unit,
) {
    override fun toString(): String = name
}

/** Applies changes to known state in virtual time. */
private class Scenario {
    var nowMillis = 0L
    val knownState = knownStateOf({ nowMillis })
    private val decoded = HashMap<Pair<String, Revision>, StateItem>()
    val state = PublishedState(knownState) { decoded[it.key to it.revision] ?: removalOf(it) }

    init {
        all(1)
    }

    fun changes(vararg items: StateItem) =
        state.apply(PublishedChanges(items.maxOf { it.revision }, isFull = false, items.map(::publish)))

    fun all(revision: Long, vararg items: StateItem) =
        state.apply(PublishedChanges(Revision(revision), isFull = true, items.map(::publish)))

    private fun publish(item: StateItem): PublishedItem {
        val (key, isRemoved) = when (item) {
            is StateItem.Table -> "table" to false
            is StateItem.Endpoint -> "endpoint/${item.id}" to (item.endpoint == null && item.problem == null)
            is StateItem.Evacuation -> "evacuation/${item.dataCentre}" to !item.isOut
        }
        decoded[key to item.revision] = item
        return PublishedItem(key, item.revision, if (isRemoved) null else ByteArray(0))
    }

    private fun removalOf(item: PublishedItem): StateItem? =
        item.takeIf { it.isRemoved && it.key.startsWith("endpoint/") }?.let {
            StateItem.Endpoint(it.revision, EndpointId(it.key.removePrefix("endpoint/")), null, problem = null)
        }

    fun evacuation(revision: Long, isOut: Boolean) =
        changes(StateItem.Evacuation(Revision(revision), DataCentreId("a"), isOut))

    /** Returns the version of the routing table and the usable endpoints. */
    fun outcome(): String {
        val ids = knownState.endpoints.of(ASSISTANT).map { it.id.value }.sorted()
        val outdated = if (knownState.isTableOutdated) "outdated " else ""
        val prefixes = knownState.table?.routes.orEmpty().map { it.pathPrefix }
        val later = if ("/b/" in prefixes) " /b/" else ""
        return "v${knownState.table?.version ?: "-"} $outdated$ids$later"
    }
}

class KnownStateTest {
    private val published = listOf(
        Case("an endpoint is listed", "v- [e1]") { changes(endpointItem(2, "e1", endpointOf("e1"))) },
        Case("an older change of an endpoint is ignored", "v- []") {
            changes(endpointItem(5, "e1", null))
            changes(endpointItem(4, "e1", endpointOf("e1")))
        },
        Case("a draining endpoint gets no new requests", "v- []") {
            changes(endpointItem(2, "e1", endpointOf("e1")))
            changes(endpointItem(3, "e1", endpointOf("e1", isDraining = true)))
        },
        Case("an unreadable entry removes its endpoint and leaves the others", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2")))
            changes(endpointItem(4, "e1", null, problem = "state"))
        },
        Case("a lower version of the configuration is ignored", "v7 []") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(tableItem(3, tableOf(6, listOf(routeOf("/a/")))))
        },
        Case("an unreadable configuration makes the last one outdated", "v7 outdated []") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(StateItem.Table(Revision(3), table = null, problem = "malformed"))
        },
        Case("a readable configuration after an unreadable one is in force", "v8 []") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(StateItem.Table(Revision(3), table = null, problem = "malformed"))
            changes(tableItem(4, tableOf(8, listOf(routeOf("/a/")))))
        },
        Case("of two configurations with one version the later is in force", "v7 [] /b/") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(tableItem(3, tableOf(7, listOf(routeOf("/b/")))))
        },
        Case("a configuration without a version is in force, one with a lower version after it is not", "v0 [] /b/") {
            changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
            changes(tableItem(3, tableOf(0, listOf(routeOf("/b/")), gaps = TableGaps(lacksVersion = true))))
            changes(tableItem(4, tableOf(6, listOf(routeOf("/a/")))))
        },
        Case("an evacuated data centre gets no new requests", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2", "b")))
            evacuation(4, isOut = true)
        },
        Case("a data centre that returns to service gets requests", "v- [e1]") {
            changes(endpointItem(2, "e1", endpointOf("e1")))
            evacuation(4, isOut = true)
            evacuation(5, isOut = false)
        },
    )

    private val removed = listOf(
        Case("an endpoint that a full read does not list is removed", "v- [e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(3, "e2", endpointOf("e2")))
            all(9, endpointItem(3, "e2", endpointOf("e2")))
        },
        Case("a full read does not remove endpoints listed after it", "v- [e1, e2]") {
            changes(endpointItem(2, "e1", endpointOf("e1")), endpointItem(12, "e2", endpointOf("e2")))
            all(9, endpointItem(2, "e1", endpointOf("e1")))
        },
        Case("an endpoint whose entry lapsed in a store outage stays in use for a short time", "v- [e1]") {
            storeReturns()
            nowMillis += 1_400
        },
        Case("an endpoint whose entry lapsed and is not published again is removed", "v- []") {
            storeReturns()
            nowMillis += 1_600
            knownState.endpoints.expireMissing()
        },
        Case("an endpoint that is removed without a store outage is gone at once", "v- []") {
            knownState.freshness.confirmed(0)
            changes(endpointItem(2, "e1", endpointOf("e1")))
            nowMillis += 1_000
            knownState.freshness.confirmed(1_000)
            changes(endpointItem(3, "e1", null))
        },
    )

    @TestFactory
    fun `table and endpoints follow the published changes`(): List<DynamicTest> = casesOf(published + removed) { case ->
        val scenario = Scenario()
        case.run(scenario)
        assertEquals(case.expected, scenario.outcome())
    }

    /** Guards against an age that counts as confirmed although the newest configuration is not in force. */
    @Test
    fun `the age of the table is that of the last one that was applied`() {
        val scenario = Scenario()
        val empty = PublishedChanges(Revision(1), isFull = false, emptyList())
        scenario.state.applyAndConfirm(empty, 0)
        scenario.changes(tableItem(2, tableOf(7, listOf(routeOf("/a/")))))
        scenario.nowMillis = 1_000
        scenario.changes(StateItem.Table(Revision(3), table = null, problem = "malformed"))
        scenario.state.applyAndConfirm(empty, 1_000)
        scenario.nowMillis = 9_000
        scenario.state.applyAndConfirm(empty, 9_000)
        assertEquals(9_000, scenario.knownState.tableAgeMillisOrNull())
        scenario.changes(tableItem(4, tableOf(8, listOf(routeOf("/a/")))))
        assertEquals(0, scenario.knownState.tableAgeMillisOrNull())
    }

    @Test
    fun `changes that cannot be applied confirm nothing`() {
        val knownState = knownStateOf({ 0 })
        val state = PublishedState(knownState) { null }
        val changes = PublishedChanges(Revision(3), isFull = false, emptyList())
        assertFailsWith<IllegalArgumentException> { state.applyAndConfirm(changes, 0) }
        assertEquals(null, knownState.freshness.ageMillisOrNull())
    }

    private fun Scenario.storeReturns() {
        knownState.freshness.confirmed(0)
        changes(endpointItem(2, "e1", endpointOf("e1")))
        nowMillis += 6_000
        knownState.freshness.confirmed(6_000)
        changes(endpointItem(3, "e1", null))
    }

    @TestFactory
    fun `an endpoint is usable only in the incarnation that was chosen`(): List<DynamicTest> =
        casesOf(listOf(1L to true, 2L to false)) { (bornMillis, isUsable) ->
            val scenario = Scenario()
            scenario.changes(endpointItem(2, "e1", endpointOf("e1", bornMillis = 1)))
            val placed = scenario.knownState.endpoints.of(ASSISTANT).single()
            scenario.changes(endpointItem(3, "e1", endpointOf("e1", bornMillis = bornMillis)))
            assertEquals(isUsable, scenario.knownState.endpoints.isUsable(placed))
        }
}
