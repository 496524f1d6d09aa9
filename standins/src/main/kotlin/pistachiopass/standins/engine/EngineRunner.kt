/** Runs an engine core in real time and lets many coroutines share it. */
package pistachiopass.standins.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import pistachiopass.standins.fault.FREEZE
import pistachiopass.standins.fault.FaultSwitches
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.microseconds

/**
 * Guards [core] by a lock and advances it step by step, but for the time in which the fault `freeze` is on.
 *
 * [nowMicros] tells the time.
 */
internal class EngineRunner(
    private val core: EngineCore,
    private val faults: FaultSwitches,
    private val nowMicros: () -> Long = { TimeUnit.NANOSECONDS.toMicros(System.nanoTime()) },
) {
    private val wakeUps: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Runs [block] on the core with the present time in milliseconds. */
    fun <T> use(block: EngineCore.(nowMillis: Long) -> T): T {
        val result = synchronized(core) { core.block(nowMillis()) }
        wakeUps.trySend(Unit)
        return result
    }

    /** Advances the core until cancelled; costs nothing while there is no work. */
    suspend fun run() {
        var dueMicros = nowMicros()
        while (true) {
            faults.awaitOff(FREEZE)
            var expiryMillis: Long? = null
            val plan = synchronized(core) {
                expiryMillis = core.expire(nowMillis())
                core.batch.planStep()
            }
            if (plan == null) {
                awaitWakeUp(expiryMillis)
                dueMicros = nowMicros()
            } else {
                dueMicros = maxOf(dueMicros, nowMicros() - MAX_BACKLOG_MICROS) + plan.durationMicros
                delay((dueMicros - nowMicros()).microseconds)
                faults.awaitOff(FREEZE)
                use { apply(plan, it) }
            }
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
        const val MAX_BACKLOG_MICROS = 100_000L
    }
}
