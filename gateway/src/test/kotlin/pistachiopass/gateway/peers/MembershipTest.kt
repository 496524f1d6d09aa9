/** Tests which instances count as live, and by how many instances shared limits are divided. */
package pistachiopass.gateway.peers

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private data class MembershipCase(
    val name: String,
    val hosts: Int,
    val silentMillis: Long,
    val live: Int,
    val assumed: Int,
) {
    override fun toString(): String = name
}

class MembershipTest {
    @TestFactory
    fun `live and assumed instances depend on when others were last seen`(): List<DynamicTest> = casesOf(
        listOf(
            MembershipCase("alone", hosts = 0, silentMillis = 0, live = 0, assumed = 12),
            MembershipCase("eight instances", hosts = 7, silentMillis = 0, live = 7, assumed = 12),
            MembershipCase("ninety instances", hosts = 89, silentMillis = 0, live = 89, assumed = 135),
            MembershipCase("silent for three seconds", hosts = 89, silentMillis = 3_000, live = 0, assumed = 135),
            MembershipCase("silent for a minute", hosts = 89, silentMillis = 60_001, live = 0, assumed = 12),
        ),
    ) { case ->
        var nowMillis = 0L
        val membership = Membership("10.0.0.1", emptyList(), { nowMillis }, Random(1))
        nowMillis = 10_000
        repeat(case.hosts) { membership.recordSeen("10.1.0.$it", ageMillis = 0) }
        nowMillis += case.silentMillis
        assertEquals(case.live, membership.live().size)
        assertEquals(case.assumed, membership.assumedInstanceCount())
    }

    @TestFactory
    fun `an instance that knows no others assumes many and sends gossip to the seeds`(): List<DynamicTest> =
        casesOf(listOf(0L, 2_999L)) { uptimeMillis ->
            var nowMillis = 0L
            val membership = Membership("10.0.0.1", listOf("10.0.0.1", "10.0.0.2"), { nowMillis }, Random(1))
            nowMillis = uptimeMillis
            assertTrue(membership.assumedInstanceCount() >= 64)
            assertEquals(setOf("10.0.0.2"), membership.gossipTargets())
        }
}
