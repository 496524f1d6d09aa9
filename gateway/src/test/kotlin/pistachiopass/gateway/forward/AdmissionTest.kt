/** Shows who is let in, by which configuration and how fresh its proof is. */
package pistachiopass.gateway.forward

import com.github.michaelbull.result.mapBoth
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.state.KnownState
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.gateway.tableItem
import pistachiopass.gateway.tableOf
import pistachiopass.model.RequestId
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

private data class Asked(
    val path: String,
    val key: String?,
    val proofAgeMillis: Long,
    val expected: String,
    val table: RoutingTable? = TABLE,
)

private val TABLE = tableOf(
    version = 3,
    listOf(routeOf("/a/"), routeOf("/a/b/"), routeOf("/open/", isPublic = true)),
    keys = mapOf("k1" to "w1"),
)

class AdmissionTest {
    @TestFactory
    fun `who is let in`(): List<DynamicTest> = casesOf(
        listOf(
            Asked("/a/1", "k1", proofAgeMillis = 0, "route-/a/ w1"),
            Asked("/a/b/1", "k1", proofAgeMillis = 0, "route-/a/b/ w1"),
            Asked("/open/1", key = null, proofAgeMillis = 60_000, "route-/open/ null"),
            Asked("/a/1", "k1", proofAgeMillis = 4_000, "route-/a/ w1"),
            Asked("/a/1", "k1", proofAgeMillis = 4_001, "503"),
            Asked("/a/1", "other", proofAgeMillis = 2_500, "401"),
            Asked("/a/1", key = null, proofAgeMillis = 0, "401"),
            Asked("/a/1", "other", proofAgeMillis = 2_501, "503"),
            Asked("/none/1", "k1", proofAgeMillis = 0, "404"),
            Asked("/a", "k1", proofAgeMillis = 0, "404"),
            Asked("/none/1", "k1", proofAgeMillis = 2_501, "503"),
            Asked("/a/1", "k1", proofAgeMillis = 0, "503", table = null),
        ),
    ) { asked ->
        val knownState = knownStateWith(asked.table, asked.proofAgeMillis)
        val admission = admissionOf(knownState, revokeMillis = 5_000, GracefulShutdown { 0 })
        val metadata = RequestMetadata(RequestId("r"), 1_000, asked.key, tokenCounts = null, lastEventId = null)
        val outcome = admission.admit(metadata, "HOST.example", asked.path).mapBoth(
            success = { "${it.route.name} ${it.workspace}" },
            failure = { it.status.toString() },
        )
        assertEquals(asked.expected, outcome)
    }

    @TestFactory
    fun `a key that is taken away before the send is noticed`(): List<DynamicTest> = casesOf(
        listOf(
            mapOf("k1" to "w1") to null,
            mapOf("k2" to "w1") to 401,
            mapOf("k1" to "w2") to 401,
        ),
    ) { (keys, status) ->
        val knownState = knownStateWith(TABLE, proofAgeMillis = 0)
        val admission = admissionOf(knownState, revokeMillis = 5_000, GracefulShutdown { 0 })
        val metadata = RequestMetadata(RequestId("r"), 1_000, "k1", tokenCounts = null, lastEventId = null)
        val admitted = admission.admit(metadata, "host.example", "/a/1").mapBoth({ it }, { null })
        knownState.applyChanges(StateSnapshot(Revision(9), listOf(tableItem(9, tableOf(4, TABLE.routes, keys)))))
        assertEquals(status, admission.refusalOrNull(assertNotNull(admitted), "k1")?.status)
    }

    private fun knownStateWith(table: RoutingTable?, proofAgeMillis: Long): KnownState {
        var nowMillis = 0L
        val knownState = knownStateOf({ nowMillis })
        if (table != null) knownState.applyAll(StateSnapshot(Revision(2), listOf(tableItem(2, table))))
        knownState.freshness.confirmedByStore(0)
        nowMillis = proofAgeMillis
        return knownState
    }
}
