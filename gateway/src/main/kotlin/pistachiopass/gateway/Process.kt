/** Runs an instance as a process: handles signals and sets the exit code. */
package pistachiopass.gateway

import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.runCatching
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.settings.GatewaySettings
import sun.misc.Signal
import kotlin.system.exitProcess

/**
 * Starts an instance and stops it gracefully on SIGTERM; SIGHUP is only logged, the settings are not read again.
 *
 * The process exits in any case, also after a failure, so that its supervisor can start it again.
 */
public fun runInstance(settings: GatewaySettings, adapter: PlatformAdapter) {
    val stopRequested = CompletableDeferred<Unit>()
    Signal.handle(Signal("TERM")) { stopRequested.complete(Unit) }
    Signal.handle(Signal("HUP")) { EventLog.log(Event.SETTINGS_CHANGED) }
    val status = runCatching { runBlocking { run(gatewayOf(settings, adapter), stopRequested) } }.mapBoth(
        success = { 0 },
        failure = {
            EventLog.log(Event.START_FAILED, field("error", it))
            EXIT_FAILED
        },
    )
    LogManager.shutdown()
    exitProcess(status)
}

private suspend fun run(gateway: Gateway, stopRequested: CompletableDeferred<Unit>) {
    gateway.start(stopRequested)
    stopRequested.await()
    gateway.stop()
}

/** Exit code after a failure to start or to run; invalid settings exit with 2. */
private const val EXIT_FAILED: Int = 1
