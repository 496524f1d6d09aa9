/** Checks in virtual time how the runner advances a core. */
package pistachiopass.standins.engine

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import pistachiopass.standins.fault.FREEZE
import pistachiopass.standins.fault.FaultSetting
import pistachiopass.standins.fault.FaultSwitches
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

@OptIn(ExperimentalCoroutinesApi::class)
class EngineRunnerTest {
    private class Phase(val name: String, val frozen: Boolean, val millis: Long, val producedTokens: Int)

    @Test
    fun `work stands still during a freeze and finished streams expire`() = runTest {
        val faults = FaultSwitches()
        val runner = runnerOf(faults)
        val stream = runner.use { assertIs<Admission.Accepted>(submit(shortRequest(answerTokens = 100), it)).stream }
        val job = launch { runner.run() }
        val phases = listOf(
            Phase("running", frozen = false, millis = 1_010, producedTokens = 51),
            Phase("frozen", frozen = true, millis = 60_000, producedTokens = 51),
            Phase("running again", frozen = false, millis = 2_000, producedTokens = 100),
        )
        for (phase in phases) {
            faults.set(FaultSetting(FREEZE, on = phase.frozen))
            advanceTimeBy(phase.millis)
            assertEquals(phase.producedTokens, stream.producedTokens, phase.name)
        }
        assertEquals(1, runner.use { currentLoad().requests.size })
        advanceTimeBy(EngineSettings().retentionMillis)
        assertEquals(0, runner.use { currentLoad().requests.size })
        job.cancel()
    }

    private fun TestScope.runnerOf(faults: FaultSwitches): EngineRunner {
        val core = EngineCore(EngineSettings(startCold = false), newStartId = { "start" })
        return EngineRunner(core, faults, nowMicros = { currentTime * 1_000 })
    }

    private fun shortRequest(answerTokens: Int): GenerationRequest =
        GenerationRequest("r", "drape-8b", promptBlocksOf(listOf("hello")), answerTokens)
}
