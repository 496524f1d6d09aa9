/** Tests whether endpoints still accept requests after a change of the pools table. */
package pistachiopass.routing

import pistachiopass.model.DataCentreId
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointState
import pistachiopass.model.Pool
import pistachiopass.model.PoolKind
import pistachiopass.model.PoolName
import pistachiopass.model.PoolsTable
import kotlin.test.Test
import kotlin.test.assertEquals

class EndpointAvailabilityTest {
    private val dataCentre = DataCentreId("dc1")
    private val chosen = Endpoint(EndpointId("e1"), dataCentre, "127.0.0.1:9001", budgetTokens = 10)

    @Test
    fun `an endpoint accepts requests while it is in service and has not moved`() {
        val cases = listOf(
            tableOf(chosen) to true,
            tableOf(chosen.copy(budgetTokens = 20)) to true,
            tableOf(chosen.copy(state = EndpointState.LEAVING)) to false,
            tableOf(chosen.copy(address = "127.0.0.1:9002")) to false,
            tableOf(chosen.copy(dataCentre = DataCentreId("dc2"))) to false,
            tableOf(chosen.copy(id = EndpointId("e2"))) to false,
            tableOf(chosen).copy(dataCentresOut = setOf(dataCentre)) to false,
            tableOf(chosen).copy(dataCentresOut = setOf(DataCentreId("dc2"))) to true,
            tableOf(chosen, pool = "other") to false,
        )
        cases.forEach { (table, expected) ->
            assertEquals(expected, table.acceptsRequests(PoolName("drape"), chosen), "$table")
        }
    }

    private fun tableOf(endpoint: Endpoint, pool: String = "drape"): PoolsTable =
        PoolsTable(listOf(Pool(PoolName(pool), PoolKind.MODEL, listOf(endpoint))))
}
