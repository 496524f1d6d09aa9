/** Checks what the controller of the documents in force accepts, refuses and reports. */
package pistachiopass.tables

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import pistachiopass.model.PoolsTable
import pistachiopass.model.TableVersion
import pistachiopass.status.TableStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs

private val noPools: JsonElement = Json.parseToJsonElement("""{"pools":[]}""")
private val badPools: JsonElement = Json.parseToJsonElement("""{"pools":[],"pool":1}""")
private val routesToDrape: JsonElement =
    Json.parseToJsonElement("""{"routes":[{"name":"a","match":{"pathPrefix":"/"},"pool":"drape"}]}""")

class TablesInForceTest {
    private data class Step(
        val version: Long,
        val value: JsonElement,
        val outcome: String,
        val inForce: Long,
        val refused: Long?,
        val ageMillis: Long?,
    )

    @Test
    fun `only higher versions are accepted and a version with errors leaves the last accepted one in force`() {
        val steps =
            listOf(
                Step(version = 0, noPools, "Older", inForce = 0, refused = null, ageMillis = null),
                Step(version = 9, badPools, "Refused", inForce = 0, refused = 9, ageMillis = null),
                Step(version = 9, badPools, "RefusedBefore", inForce = 0, refused = 9, ageMillis = null),
                Step(version = 8, noPools, "Accepted", inForce = 8, refused = 9, ageMillis = 1),
                Step(version = 8, noPools, "Unchanged", inForce = 8, refused = 9, ageMillis = 1),
                Step(version = 7, noPools, "Older", inForce = 8, refused = 9, ageMillis = 101),
                Step(version = 9, noPools, "RefusedBefore", inForce = 8, refused = 9, ageMillis = 201),
                Step(version = 10, noPools, "Accepted", inForce = 10, refused = null, ageMillis = 1),
                Step(version = 11, badPools, "Refused", inForce = 10, refused = 11, ageMillis = 101),
            )
        val tables = tablesInForceOf()
        steps.forEachIndexed { index, step ->
            val nowMillis = 100L * index
            val outcome = tables.offer(DocumentName.POOLS, TableVersion(step.version), step.value, nowMillis)
            val expected =
                TableStatus(
                    name = "pools",
                    version = TableVersion(step.inForce),
                    ageMillis = step.ageMillis,
                    refusedVersion = step.refused?.let(::TableVersion),
                )
            assertEquals(step.outcome, outcome::class.simpleName, "$step")
            assertEquals(expected, tables.statusAt(nowMillis + 1).single { it.name == "pools" }, "$step")
        }
    }

    @Test
    fun `only a confirmation of the version in force resets its age`() {
        val tables = tablesInForceOf()
        tables.offer(DocumentName.POOLS, TableVersion(3), noPools, confirmedAtMillis = 10)
        val cases = listOf(2L to 90L, 4L to 90L, 3L to 50L)
        cases.forEach { (version, ageMillis) ->
            tables.confirm(DocumentName.POOLS, TableVersion(version), confirmedAtMillis = 50)
            assertEquals(ageMillis, tables.statusAt(100).single { it.name == "pools" }.ageMillis, "version $version")
        }
    }

    @Test
    fun `a route to a missing pool is accepted and reported as a problem until the pool exists`() {
        val tables = tablesInForceOf()
        val drape = Json.parseToJsonElement("""{"pools":[{"name":"drape","kind":"plain","endpoints":[]}]}""")
        tables.offer(DocumentName.POOLS, TableVersion(1), noPools, 0)
        assertIs<OfferOutcome.Accepted>(tables.offer(DocumentName.ROUTES, TableVersion(1), routesToDrape, 0))
        assertEquals(listOf("routes[0].pool"), tables.state.value.crossDocumentProblems.map { it.place })
        assertIs<OfferOutcome.Accepted>(tables.offer(DocumentName.POOLS, TableVersion(2), drape, 0))
        assertEquals(emptyList(), tables.state.value.crossDocumentProblems)
    }

    @Test
    fun `listeners see every change in order even if one throws and one offers a document`() {
        val tables = tablesInForceOf()
        val seen = mutableListOf<TableVersion>()
        tables.addListener { _, state ->
            if (state.versionOf(DocumentName.POOLS) == TableVersion(1)) {
                tables.offer(DocumentName.POOLS, TableVersion(2), noPools, 0)
                error("listener fails")
            }
        }
        tables.addListener { document, state -> seen += state.versionOf(document) }
        assertFailsWith<IllegalStateException> { tables.offer(DocumentName.POOLS, TableVersion(1), noPools, 0) }
        tables.offer(DocumentName.POOLS, TableVersion(3), noPools, 0)
        assertEquals(listOf(1L, 2L, 3L).map(::TableVersion), seen)
    }

    @Test
    fun `the version in force never decreases under concurrent offers`() {
        ModelCheckingOptions()
            .iterations(5)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .sequentialSpecification(HighestVersion::class.java)
            .check(ConcurrentOffers::class)
    }
}

/** Operations on the controller; their results must be possible in some order with [HighestVersion]. */
class ConcurrentOffers {
    private val tables = tablesInForceOf(poolsCheck = { TableReading(PoolsTable(emptyList()), emptyList()) })

    @Operation
    fun offer(version: Int): Boolean =
        tables.offer(DocumentName.POOLS, TableVersion(version.toLong()), noPools, 0) is OfferOutcome.Accepted

    @Operation
    fun version(): Long = tables.state.value.versionOf(DocumentName.POOLS).value
}

/** The sequential specification of [ConcurrentOffers]. */
class HighestVersion {
    private var highest = 0L

    fun offer(version: Int): Boolean = (version > highest).also { if (it) highest = version.toLong() }

    fun version(): Long = highest
}
