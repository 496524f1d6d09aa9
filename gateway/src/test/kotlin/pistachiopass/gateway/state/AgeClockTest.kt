/** Tests that the age clock keeps running during a suspension of the machine. */
package pistachiopass.gateway.state

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.gateway.casesOf
import kotlin.test.assertEquals

private data class Step(val name: String, val monotonicMillis: Long, val wallMillis: Long, val ageMillis: Long)

class AgeClockTest {
    @TestFactory
    fun `the clock follows the monotonic clock except for suspensions`(): List<DynamicTest> = casesOf(
        listOf(
            Step("both clocks advance", monotonicMillis = 1_000, wallMillis = 1_000, ageMillis = 1_000),
            Step("suspended for five seconds", monotonicMillis = 10, wallMillis = 5_010, ageMillis = 5_010),
            Step("the time of day jumps back", monotonicMillis = 1_000, wallMillis = -2_000, ageMillis = 1_000),
            Step("the time of day drifts a little", monotonicMillis = 1_000, wallMillis = 1_020, ageMillis = 1_000),
        ),
    ) { step ->
        var monotonic = 0L
        var wall = 0L
        val clock = ageClockOf({ monotonic * 1_000_000 }, { wall })
        monotonic += step.monotonicMillis
        wall += step.wallMillis
        assertEquals(step.ageMillis, clock.nowMillis())
    }
}
