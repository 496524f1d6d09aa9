/**
 * Tests which requests a stopping instance still admits: once the load balancer has stopped sending connections, none
 * that the end of the grace period could cut off.
 */
package pistachiopass.gateway.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.routeOf
import pistachiopass.model.Verdict
import kotlin.test.assertEquals

/** A request that arrives [sinceMillis] after SIGTERM, or before any if that is -1, on a route with a timeout. */
private data class ShutdownCase(val sinceMillis: Long, val timeoutMillis: Long, val isAdmitted: Boolean)

class GracefulShutdownTest {
    @TestFactory
    fun `a request is admitted only if its timeout ends within the grace period`(): List<DynamicTest> = casesOf(
        listOf(
            ShutdownCase(sinceMillis = -1, timeoutMillis = 60_000, isAdmitted = true),
            ShutdownCase(sinceMillis = 0, timeoutMillis = 60_000, isAdmitted = true),
            ShutdownCase(sinceMillis = 2_500, timeoutMillis = 60_000, isAdmitted = true),
            ShutdownCase(sinceMillis = 2_501, timeoutMillis = 60_000, isAdmitted = false),
            ShutdownCase(sinceMillis = 5_968, timeoutMillis = 10_000, isAdmitted = false),
            ShutdownCase(sinceMillis = 2_501, timeoutMillis = 800, isAdmitted = true),
            ShutdownCase(sinceMillis = 6_600, timeoutMillis = 800, isAdmitted = true),
            ShutdownCase(sinceMillis = 6_601, timeoutMillis = 800, isAdmitted = false),
        ),
    ) { case ->
        var nowMillis = 1_000L
        val shutdown = GracefulShutdown { nowMillis }
        if (case.sinceMillis >= 0) shutdown.begin(GRACE_MILLIS)
        nowMillis += maxOf(0, case.sinceMillis)
        val refusal = shutdown.refusalOrNull(routeOf("/a/").copy(timeoutMillis = case.timeoutMillis))
        assertEquals(case.isAdmitted, refusal == null, "$refusal")
        if (refusal != null) assertEquals(Verdict.NOT_RUN, refusal.verdict)
    }
}

private const val GRACE_MILLIS = 7_400L
