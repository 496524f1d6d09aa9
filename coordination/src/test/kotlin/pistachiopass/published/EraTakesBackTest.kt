/** Tests in virtual time that instances do not take back what endpoints have said when the store returns older. */
package pistachiopass.published

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

class EraTakesBackTest {
    @Test
    fun `no instance takes back that an endpoint leaves when the store returns from older copies`() {
        val failed = (1..SEEDS_OF_ENDPOINTS).mapNotNull { seed ->
            EraHistory(seed, Defect.NONE).also { it.run() }.takenBack.firstOrNull()?.let { "seed $seed: $it" }
        }
        println("taken back with ${failed.size} of $SEEDS_OF_ENDPOINTS seeds")
        assertEquals(emptyList(), failed)
    }
}

private const val SEEDS_OF_ENDPOINTS = 200
