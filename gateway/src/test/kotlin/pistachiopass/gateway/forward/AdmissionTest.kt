/** Tests which requests are admitted, by routing table, API key and age of the known state. */
package pistachiopass.gateway.forward

import com.github.michaelbull.result.mapBoth
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.StateItem
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.model.RouteGap
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.ServiceName
import pistachiopass.gateway.model.TableGaps
import pistachiopass.gateway.model.WeightedService
import pistachiopass.gateway.routeOf
import pistachiopass.gateway.state.KnownState
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.gateway.tableItem
import pistachiopass.gateway.tableOf
import pistachiopass.model.RequestId
import pistachiopass.published.Revision
import pistachiopass.quarantine.PartQuarantine
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

private data class AdmissionCase(
    val path: String,
    val key: String?,
    val stateAgeMillis: Long,
    val expected: String,
    val table: RoutingTable? = TABLE,
)

private data class GapCase(val gaps: TableGaps, val path: String, val key: String?, val expected: String)

private const val SPLIT_REQUESTS = 4_000

private val TABLE = tableOf(
    version = 3,
    listOf(routeOf("/a/"), routeOf("/a/b/"), routeOf("/open/", isPublic = true)),
    keys = mapOf("k1" to "w1"),
)

private fun noQuarantine(): PartAdmission =
    PartAdmission(PartQuarantine({ 0 }, { 1 }, QuarantineEvents(EventLog)), { 0 }, EventLog)

class AdmissionTest {
    @TestFactory
    fun `a request is admitted or refused by route, key and age of the known state`(): List<DynamicTest> = casesOf(
        listOf(
            AdmissionCase("/a/1", "k1", stateAgeMillis = 0, "route-/a/ w1"),
            AdmissionCase("/a/b/1", "k1", stateAgeMillis = 0, "route-/a/b/ w1"),
            AdmissionCase("/open/1", key = null, stateAgeMillis = 60_000, "route-/open/ null"),
            AdmissionCase("/a/1", "k1", stateAgeMillis = 4_000, "route-/a/ w1"),
            AdmissionCase("/a/1", "k1", stateAgeMillis = 4_001, "503"),
            AdmissionCase("/a/1", "other", stateAgeMillis = 2_500, "401"),
            AdmissionCase("/a/1", key = null, stateAgeMillis = 0, "401"),
            AdmissionCase("/a/1", "other", stateAgeMillis = 2_501, "503"),
            AdmissionCase("/none/1", "k1", stateAgeMillis = 0, "404"),
            AdmissionCase("/a", "k1", stateAgeMillis = 0, "404"),
            AdmissionCase("/none/1", "k1", stateAgeMillis = 2_501, "503"),
            AdmissionCase("/a/1", "k1", stateAgeMillis = 0, "503", table = null),
        ),
    ) { case ->
        val knownState = knownStateWith(case.table, case.stateAgeMillis)
        val admission = admissionBy(knownState)
        val metadata = RequestMetadata(RequestId("r"), 1_000, case.key, tokenCounts = null, lastEventId = null)
        val outcome = admission.admit(metadata, "HOST.example", case.path).mapBoth(
            success = { "${it.route.name} ${it.workspace}" },
            failure = { it.status.toString() },
        )
        assertEquals(case.expected, outcome)
    }

    @TestFactory
    fun `a key that is removed between admission and sending is refused`(): List<DynamicTest> = casesOf(
        listOf(
            mapOf("k1" to "w1") to null,
            mapOf("k2" to "w1") to 401,
            mapOf("k1" to "w2") to 401,
        ),
    ) { (keys, status) ->
        val knownState = knownStateWith(TABLE, stateAgeMillis = 0)
        val admission = admissionBy(knownState)
        val metadata = RequestMetadata(RequestId("r"), 1_000, "k1", tokenCounts = null, lastEventId = null)
        val admitted = admission.admit(metadata, "host.example", "/a/1").mapBoth({ it }, { null })
        knownState.apply(listOf(tableItem(9, tableOf(4, TABLE.routes, keys))))
        assertEquals(status, admission.refusalOrNull(assertNotNull(admitted), metadata)?.status)
    }

    /** Guards against 401 and 404 for what the newest configuration may contain. */
    @TestFactory
    fun `what a table with gaps may contain is not said to be missing`(): List<DynamicTest> = casesOf(
        listOf(
            GapCase(TableGaps(mayLackKeys = true), "/a/1", "k1", "route-/a/ w1"),
            GapCase(TableGaps(mayLackKeys = true), "/a/1", "other", "503"),
            GapCase(TableGaps(mayLackKeys = true), "/a/1", key = null, "503"),
            GapCase(TableGaps(mayLackKeys = true), "/open/1", key = null, "route-/open/ null"),
            GapCase(gapOf(host = null, "/x/"), "/x/1", "k1", "503"),
            GapCase(gapOf(host = null, "/x/"), "/y/1", "k1", "404"),
            GapCase(gapOf("host.example", pathPrefix = null), "/y/1", "k1", "503"),
            GapCase(gapOf("other.example", pathPrefix = null), "/y/1", "k1", "404"),
            GapCase(gapOf("Host.Example", "/a/b/c/"), "/a/b/c/1", "k1", "503"),
            GapCase(gapOf("host.example", "/a/"), "/a/b/1", "k1", "route-/a/b/ w1"),
            GapCase(gapOf(host = null, pathPrefix = null), "/a/1", "k1", "route-/a/ w1"),
        ),
    ) { case ->
        val knownState = knownStateWith(TABLE, stateAgeMillis = 0)
        knownState.apply(listOf(tableItem(3, tableOf(4, TABLE.routes, mapOf("k1" to "w1"), gaps = case.gaps))))
        assertEquals(case.expected, knownState.outcomeOf(case.path, case.key))
    }

    @TestFactory
    fun `nothing is admitted by a table that is known to be outdated`(): List<DynamicTest> =
        casesOf(listOf("/a/1" to "k1", "/a/1" to "other", "/open/1" to null, "/none/1" to "k1")) { (path, key) ->
            val knownState = knownStateWith(TABLE, stateAgeMillis = 0)
            val admission = admissionBy(knownState)
            val metadata = metadataOf("k1")
            val admitted = assertNotNull(admission.admit(metadata, "host.example", "/a/1").mapBoth({ it }, { null }))
            knownState.apply(listOf(StateItem.Table(Revision(3), table = null, problem = "malformed")))
            assertEquals("503", knownState.outcomeOf(path, key))
            assertEquals(503, admission.refusalOrNull(admitted, metadata)?.status, "a request admitted before")
            knownState.apply(listOf(tableItem(4, tableOf(4, TABLE.routes, mapOf("k1" to "w1")))))
            assertEquals(null, admission.refusalOrNull(admitted, metadata))
        }

    /** Guards against a split by weights that are no integers, or that are too large for their sum to be one. */
    @TestFactory
    fun `a route is split in proportion to its weights, whatever numbers they are`(): List<DynamicTest> = casesOf(
        listOf(
            listOf(99.5, 0.5) to 0.995,
            listOf(0.25, 0.75) to 0.25,
            listOf(2_147_483_648.0, 2_147_483_648.0) to 0.5,
            listOf(1e15, 1e15) to 0.5,
            listOf(0.0, 1e-9) to 0.0,
            listOf(1.0, 0.0) to 1.0,
        ),
    ) { (weights, share) ->
        val services = listOf(ASSISTANT, ServiceName("other"))
        val route = routeOf("/a/", isPublic = true)
            .copy(services = services.zip(weights) { service, weight -> WeightedService(service, weight) })
        val knownState = knownStateWith(tableOf(3, listOf(route)), stateAgeMillis = 0)
        val admission = admissionBy(knownState)
        val first = (1..SPLIT_REQUESTS).count { index ->
            val metadata = metadataOf(key = null, id = "request-${index * 7_919L}")
            admission.admit(metadata, "host.example", "/a/1").mapBoth({ it.service.name }, { null }) == ASSISTANT
        }
        val tolerance = if (share in 0.01..0.99) 0.03 else 0.004
        assertEquals(share, first.toDouble() / SPLIT_REQUESTS, tolerance)
    }

    private fun admissionBy(knownState: KnownState): Admission =
        admissionOf(knownState, { 5_000 }, GracefulShutdown { 0 }, noQuarantine())

    private fun gapOf(host: String?, pathPrefix: String?): TableGaps =
        TableGaps(routes = listOf(RouteGap(name = null, host, pathPrefix)))

    private fun metadataOf(key: String?, id: String = "r"): RequestMetadata =
        RequestMetadata(RequestId(id), 1_000, key, tokenCounts = null, lastEventId = null)

    private fun KnownState.outcomeOf(path: String, key: String?): String =
        admissionBy(this).admit(metadataOf(key), "HOST.example", path)
            .mapBoth({ "${it.route.name} ${it.workspace}" }, { it.status.toString() })

    private fun knownStateWith(table: RoutingTable?, stateAgeMillis: Long): KnownState {
        var nowMillis = 0L
        val knownState = knownStateOf({ nowMillis })
        if (table != null) knownState.apply(listOf(tableItem(2, table)))
        knownState.freshness.confirmed(0)
        nowMillis = stateAgeMillis
        return knownState
    }
}
