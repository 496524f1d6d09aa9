/** Tests in virtual time how soon after an outage of the store the published state is confirmed again. */
package pistachiopass.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import pistachiopass.entry.logging.EventLog
import pistachiopass.gateway.StateProblem
import pistachiopass.gateway.StateSnapshot
import pistachiopass.gateway.StateSource
import pistachiopass.gateway.casesOf
import pistachiopass.gateway.model.Revision
import kotlin.test.assertTrue

private data class Outage(val fromMillis: Long, val toMillis: Long)

/** A store that loses every request during an outage; the client times out 700 ms after the requested wait. */
private class LossyStore(private val outage: Outage, private val nowMillis: () -> Long) : StateSource {
    override suspend fun readAll(): Result<StateSnapshot, StateProblem> = answer(waitMillis = 0)

    override suspend fun changesAfter(after: Revision, waitMillis: Long): Result<StateSnapshot, StateProblem> =
        answer(waitMillis)

    override fun reconnect(): Unit = Unit

    private suspend fun answer(waitMillis: Long): Result<StateSnapshot, StateProblem> {
        val end = nowMillis() + waitMillis
        val isLost = nowMillis() < outage.toMillis && end >= outage.fromMillis
        delay(if (isLost) waitMillis + 700 else waitMillis + 4)
        return if (isLost) Err(StateProblem.UNAVAILABLE) else Ok(StateSnapshot(Revision(5), emptyList()))
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
class StateWatchTest {
    @TestFactory
    fun `the state is confirmed within 1200 ms of the end of an outage`(): List<DynamicTest> = casesOf(
        (0..9).map { Outage(fromMillis = 3_000, toMillis = 8_000L + it * 137) } + Outage(3_000, 3_300),
    ) { outage ->
        runTest {
            val silent = EventLog { _, _, _ -> }
            val clock = AgeClock { currentTime }
            val knownState = knownStateOf(clock, silent)
            val watch = launch { StateWatch(LossyStore(outage) { currentTime }, knownState, clock, silent).run() }
            while (currentTime < outage.toMillis) delay(10)
            while (!knownState.freshness.isWithin(currentTime - outage.toMillis)) delay(10)
            watch.cancel()
            val afterMillis = currentTime - outage.toMillis
            assertTrue(afterMillis <= 1_200, "confirmed $afterMillis ms after the end of the outage")
        }
    }
}
