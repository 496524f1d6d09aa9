/** Tests the delays between connection attempts. */
package pistachiopass.entry.peer

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class BackoffTest {
    @Test
    fun `delays double up to the limit, with jitter, and are reset after a success`() {
        val clock = TestTimeSource()
        val backoff = Backoff(PeerLimits(backoffMinMillis = 100, backoffMaxMillis = 350), Random(SEED), clock)
        assertFalse(backoff.isWaiting)
        for (delayMillis in listOf(100, 200, 350, 350)) {
            backoff.onFailure()
            clock += (delayMillis / 2 - 1).milliseconds
            assertTrue(backoff.isWaiting, "seed $SEED delay $delayMillis ms")
            clock += (delayMillis - delayMillis / 2 + 1).milliseconds
            assertFalse(backoff.isWaiting, "seed $SEED delay $delayMillis ms")
        }
        backoff.onFailure()
        backoff.onSuccess()
        assertFalse(backoff.isWaiting)
        backoff.onFailure()
        clock += 100.milliseconds
        assertFalse(backoff.isWaiting)
    }
}

private const val SEED = 5
