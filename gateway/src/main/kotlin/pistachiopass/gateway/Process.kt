/** Runs an instance as a process: signals and the exit. */
package pistachiopass.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.log
import pistachiopass.gateway.settings.GatewaySettings
import sun.misc.Signal
import kotlin.system.exitProcess

/** Starts an instance, waits for SIGTERM and stops it in order. */
public fun runInstance(settings: GatewaySettings, adapter: PlatformAdapter) {
    val stopAsked = CompletableDeferred<Unit>()
    Signal.handle(Signal("TERM")) { stopAsked.complete(Unit) }
    Signal.handle(Signal("HUP")) { EventLog.log(Event.SETTINGS_CHANGED) }
    val gateway = gatewayOf(settings, adapter)
    runBlocking {
        gateway.start(stopAsked)
        stopAsked.await()
        gateway.stop()
    }
    LogManager.shutdown()
    exitProcess(0)
}
