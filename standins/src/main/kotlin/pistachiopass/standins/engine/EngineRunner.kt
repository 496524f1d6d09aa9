/** Runs an engine core in real time and lets many coroutines share it. */
package pistachiopass.standins.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.standins.fault.FaultSwitches
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.microseconds

/**
 * Guards [core] by a lock and advances it step by step.
 *
 * [onRestart] is called each time the engine has lost its state. [nowMicros] tells the time.
 */
internal class EngineRunner(
    private val core: EngineCore,
    private val faults: FaultSwitches,
    private val onRestart: () -> Unit,
    private val nowMicros: () -> Long = { TimeUnit.NANOSECONDS.toMicros(System.nanoTime()) },
) {
    private val wakeUps: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Runs [block] on the core with the present time in milliseconds. */
    fun <T> use(block: EngineCore.(nowMillis: Long) -> T): T {
        var restarted = false
        val result = synchronized(core) {
            val startId = core.startId
            core.block(nowMillis()).also { restarted = core.startId != startId }
        }
        wakeUps.trySend(Unit)
        if (restarted) onRestart()
        return result
    }

    /** Advances the core until cancelled; costs nothing while there is no work. */
    suspend fun run() {
        var dueMicros = nowMicros()
        while (true) {
            awaitNoFreeze()
            var expiryMillis: Long? = null
            val plan = synchronized(core) {
                expiryMillis = core.expire(nowMillis())
                core.planStep()
            }
            if (plan == null) {
                awaitWakeUp(expiryMillis)
                dueMicros = nowMicros()
            } else {
                dueMicros = maxOf(dueMicros, nowMicros() - MAX_BACKLOG_MICROS) + plan.durationMicros
                delay((dueMicros - nowMicros()).microseconds)
                awaitNoFreeze()
                use { apply(plan, it) }
            }
        }
    }

    /** Waits until the engine is not frozen. */
    suspend fun awaitNoFreeze() {
        while (faults["freeze"] != null) {
            delay(FREEZE_CHECK_MILLIS)
        }
    }

    private suspend fun awaitWakeUp(expiryMillis: Long?) {
        if (expiryMillis == null) {
            wakeUps.receive()
        } else {
            withTimeoutOrNull(maxOf(1, expiryMillis - nowMillis())) { wakeUps.receive() }
        }
    }

    private fun nowMillis(): Long = TimeUnit.MICROSECONDS.toMillis(nowMicros())

    private companion object {
        const val FREEZE_CHECK_MILLIS = 20L
        const val MAX_BACKLOG_MICROS = 100_000L
    }
}
