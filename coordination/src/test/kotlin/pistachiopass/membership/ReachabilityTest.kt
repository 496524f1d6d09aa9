/** Checks the reachability of a peer as time passes since its last heartbeat. */
package pistachiopass.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import pistachiopass.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class ReachabilityTest {
    private val clock = TestTimeSource()
    private val reachability = Reachability(suspectAfterMillis = 3_000, clock)

    @ParameterizedTest
    @CsvSource("0,REACHABLE", "2999,REACHABLE", "3000,REACHABLE", "3001,SUSPECT", "86400000,SUSPECT")
    fun `silence makes a peer suspect and a heartbeat makes it reachable`(
        silenceMillis: Long,
        expected: PeerReachability,
    ) {
        reachability.recordHeartbeat(PEER)
        clock += silenceMillis.milliseconds
        assertEquals(expected, reachability.statusOf(PEER))
        assertEquals(silenceMillis, reachability.silenceMillisOrNull(PEER))
        reachability.recordHeartbeat(PEER)
        assertEquals(PeerReachability.REACHABLE, reachability.statusOf(PEER))
    }

    @Test
    fun `a peer without any heartbeat or no longer published is unknown`() {
        assertEquals(PeerReachability.UNKNOWN, reachability.statusOf(PEER))
        reachability.recordHeartbeat(PEER)
        reachability.retainOnly(emptySet())
        assertEquals(PeerReachability.UNKNOWN, reachability.statusOf(PEER))
        assertNull(reachability.silenceMillisOrNull(PEER))
    }
}

private val PEER = InstanceId("i1")
