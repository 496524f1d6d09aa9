/** Tests on which engines instances place, and that each placement is told to all others that place there. */
package pistachiopass.gateway.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.ASSISTANT
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.endpointItem
import pistachiopass.gateway.endpointOf
import pistachiopass.gateway.state.KnownEndpoint
import pistachiopass.gateway.state.knownStateOf
import pistachiopass.membership.Member
import pistachiopass.membership.MemberHost
import pistachiopass.model.DataCentreId
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A deployment, the numbers of engines of an instance, and of other instances that have an engine at home. */
private data class ScopeCase(
    val instances: Int,
    val engines: Int,
    val dataCentres: Int,
    val home: Int,
    val overflowMax: Int,
    val homeAudience: Int,
) {
    /** Groups for overflow are shared by at most twice as many instances as if they were spread evenly. */
    val audienceMax: Int get() = homeAudience + 2 * overflowMax * instances / engines
}

class EngineScopesTest {
    private val cases = listOf(
        ScopeCase(instances = 8, engines = 18, dataCentres = 3, home = 18, overflowMax = 0, homeAudience = 7),
        ScopeCase(instances = 84, engines = 60, dataCentres = 3, home = 20, overflowMax = 10, homeAudience = 27),
        ScopeCase(instances = 95, engines = 150, dataCentres = 5, home = 30, overflowMax = 10, homeAudience = 18),
        ScopeCase(instances = 410, engines = 2_800, dataCentres = 16, home = 34, overflowMax = 10, homeAudience = 16),
        ScopeCase(instances = 40, engines = 40, dataCentres = 4, home = 34, overflowMax = 0, homeAudience = 39),
    )

    @TestFactory
    fun `scopes are bounded and all instances agree on them`(): List<DynamicTest> = casesOf(cases) { case ->
        val endpoints = endpointsOf(case)
        val members = (0 until case.instances).map {
            Member(MemberHost("10.0.${it / 100}.$it"), DataCentreId("dc-${it % case.dataCentres}"), incarnation = 1)
        }
        val sample = members.take(SAMPLE)
        val scopes = sample.associateWith { self -> EngineScopes({ self }, (members - self).let { { it } }) }
        val owned = scopes.mapValues { (_, scope) -> scope.ownOf(ASSISTANT, endpoints) }
        owned.values.forEach {
            assertEquals(case.home, it.home.size)
            assertTrue(it.overflow.size <= case.overflowMax, "${it.overflow.size} engines for overflow")
        }
        for (self in sample) {
            for (endpoint in endpoints.filter { owned.getValue(self).contains(it) }) {
                val audience = scopes.getValue(self).audienceOf(endpoint, endpoints)
                val expected = (sample - self).filter { owned.getValue(it).contains(endpoint) }.map { it.host }
                assertEquals(expected.toSet(), audience.intersect(sample.map { it.host }.toSet()))
                assertTrue(audience.size <= case.audienceMax, "${audience.size} instances share an engine")
            }
        }
    }

    @TestFactory
    fun `instances of a data centre whose engines are gone place on those of others`(): List<DynamicTest> =
        casesOf(listOf(95, 8)) { instances ->
            val endpoints = endpointsOf(ScopeCase(instances, 150, 5, 0, 0, 0))
                .filter { it.published.dataCentre != GONE }
            val self = Member(MemberHost("10.0.0.1"), GONE, incarnation = 1)
            val scopes = EngineScopes({ self }, { emptyList() })
            assertEquals(34, scopes.ownOf(ASSISTANT, endpoints).home.size)
        }

    private fun endpointsOf(case: ScopeCase): List<KnownEndpoint> {
        val knownState = knownStateOf({ 0L }, EventLog { _, _, _ -> })
        val items = (1..case.engines).map {
            endpointItem(it.toLong(), "e$it", endpointOf("e$it", "dc-${it % case.dataCentres}"))
        }
        knownState.apply(items)
        return knownState.endpoints.of(ASSISTANT)
    }
}

private fun EngineScope.contains(endpoint: KnownEndpoint) = endpoint.id in home || endpoint.id in overflow

private const val SAMPLE = 40
private val GONE = DataCentreId("dc-1")
