/** Checks how a switched fault is used up. */
package pistachiopass.standins.fault

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class FaultSwitchesTest {
    private val switches = FaultSwitches()

    @Test
    fun `a fault is used up by its count`() {
        switches.set(FaultSetting(RESET, count = 2))
        repeat(2) { assertNotNull(switches.takeOrNull(RESET)) }
        assertNull(switches.takeOrNull(RESET))
    }

    @Test
    fun `a setting that is turned down is not used up`() {
        val setting = FaultSetting(RESET, count = 1, phase = PHASE_AFTER)
        switches.set(setting)
        assertNull(switches.takeOrNull(RESET) { it.phase == PHASE_BEFORE })
        assertEquals(listOf(setting), switches.all())
    }
}
