/** Tests that whole milliseconds do not make the state of instances that subscribe to each other look younger. */
package pistachiopass.published

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.math.floor
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val HOPS = 500
private const val TRANSIT_MILLIS = 0.05
private const val PAUSE_MILLIS = 0.45

class FeedRoundingTest {
    private val phasePairs = listOf(0.0, 0.25, 0.5, 0.75, 0.99).flatMap { first ->
        listOf(0.0, 0.5, 0.9).map { second -> first to second }
    }

    @TestFactory
    fun `a state that two instances pass to and fro does not get younger`(): List<DynamicTest> =
        phasePairs.map { phases ->
            DynamicTest.dynamicTest("clocks ahead by $phases ms") {
                var time = 1_000.0
                val clocks = phases.toList().map { phase -> { floor(time + phase).toLong() } }
                val readers = clocks.map { FeedSubscriptions<String>(it) }
                var confirmedMillis = clocks[0]()
                repeat(HOPS) { hop ->
                    val reader = (hop + 1) % 2
                    val source = hop % 2
                    val (_, subscription) = readers[reader].subscribe(listOf("source"), position = null).single()
                    time += TRANSIT_MILLIS
                    val arrivedMillis = clocks[source]()
                    time += PAUSE_MILLIS
                    val elapsedMillis = clocks[source]() - arrivedMillis
                    val ageMillis = clocks[source]() - confirmedMillis
                    val update =
                        FeedUpdate(subscription.nonce, elapsedMillis, ageMillis, Revision(1), Revision(1), emptyList())
                    confirmedMillis = assertNotNull(readers[reader].confirmedMillisOrNull("source", update))
                    readers[reader].subscribe(emptyList(), position = null)
                }
                assertTrue(confirmedMillis <= 1_001, "the state of 1000 ms counts as of $confirmedMillis ms")
            }
        }
}
