/** Tests what is believed of an item that a store lists otherwise after it has returned from an older copy. */
package pistachiopass.gateway.state

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.model.TableGaps
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.tableOf
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.published.Hold
import pistachiopass.published.PublishedItem
import pistachiopass.published.Revision
import kotlin.test.assertEquals

private class OrderCase(val name: String, val known: StateItem?, val next: StateItem?, val beliefMillis: Long) {
    override fun toString(): String = name
}

class StateItemOrderTest {
    private val unread = StateItem.Table(REVISION, table = null, "malformed")
    private val gone = endpoint(isGone = true)
    private val cases = listOf(
        OrderCase("a table of a lower version", table(7), table(6), Hold.UNTIL_REPLACED),
        OrderCase("a table of the same version", table(7), table(7), 0),
        OrderCase("a table of a higher version", table(7), table(8), 0),
        OrderCase("a table without a version", table(7), table(null), SHORT_MILLIS),
        OrderCase("a table that cannot be read", table(7), unread, SHORT_MILLIS),
        OrderCase("a table that is not listed", table(7), null, SHORT_MILLIS),
        OrderCase("an endpoint with an earlier report", endpoint(5), endpoint(4), SHORT_MILLIS),
        OrderCase("an endpoint with a later report", endpoint(5), endpoint(6), 0),
        OrderCase("an endpoint that has restarted", endpoint(5), endpoint(0, bornMillis = 2), 0),
        OrderCase("an endpoint of an earlier start", endpoint(0, bornMillis = 2), endpoint(5), SHORT_MILLIS),
        OrderCase("an endpoint that leaves, as ready", endpoint(5, isDraining = true), endpoint(4), SHORT_MILLIS),
        OrderCase("one that leaves, as ready by its number", endpoint(5, isDraining = true), endpoint(5), SHORT_MILLIS),
        OrderCase("an endpoint listed as leaving", endpoint(null), endpoint(null, isDraining = true), 0),
        OrderCase("an endpoint without numbers of its reports", endpoint(null), endpoint(null), SHORT_MILLIS),
        OrderCase("an endpoint with an unreadable entry", endpoint(5), endpoint(problem = "slots"), SHORT_MILLIS),
        OrderCase("an endpoint that is not listed", endpoint(5), gone, BRIEF_MILLIS),
        OrderCase("an endpoint that has left, listed", gone, endpoint(5), SHORT_MILLIS),
        OrderCase("a data centre out of service, in service", evacuation(true), evacuation(false), SHORT_MILLIS),
        OrderCase("a data centre in service, out of service", evacuation(false), evacuation(true), 0),
        OrderCase("an item that is not used", null, null, 0),
    )

    @TestFactory
    fun `an older copy takes nothing back for as long as it would be written again`(): List<DynamicTest> =
        casesOf(cases) { case ->
            val items = listOf(case.known, case.next).map { PublishedItem("key", REVISION, ByteArray(0)) to it }
            val order = StateItemOrder { item -> items.first { it.first === item }.second }
            assertEquals(case.beliefMillis, order.beliefMillis(items[0].first, items[1].first))
        }

    private fun table(version: Long?) = StateItem.Table(
        REVISION,
        tableOf(version ?: 1, listOf(routeOf("r")), gaps = TableGaps(lacksVersion = version == null)),
        problem = null,
    )

    private fun endpoint(
        sequence: Long? = 1,
        bornMillis: Long = 1,
        isDraining: Boolean = false,
        isGone: Boolean = false,
        problem: String? = null,
    ): StateItem {
        val listed = endpointOf("e1", isDraining = isDraining, bornMillis = bornMillis).copy(sequence = sequence)
        return StateItem.Endpoint(REVISION, EndpointId("e1"), listed.takeUnless { isGone || problem != null }, problem)
    }

    private fun evacuation(isOut: Boolean) = StateItem.Evacuation(REVISION, DataCentreId("a"), isOut)
}

private val REVISION = Revision(1)
private const val SHORT_MILLIS = 5_000L
private const val BRIEF_MILLIS = 2_500L
