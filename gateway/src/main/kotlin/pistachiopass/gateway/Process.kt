/** Runs an instance as a process: handles signals and sets the exit code. */
package pistachiopass.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.runCatching
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.settings.BoundSettings
import pistachiopass.gateway.settings.LoadedSettings
import sun.misc.Signal
import kotlin.system.exitProcess

/**
 * Starts an instance with [settings] and stops it gracefully on SIGTERM. On SIGHUP it reads the settings again with
 * [readAgain], which returns the bounds in force for those that cannot be read, and applies the bounds.
 *
 * The process exits in any case, also after a failure, so that its supervisor can start it again.
 */
public fun runInstance(
    settings: LoadedSettings,
    adapter: PlatformAdapter,
    readAgain: (BoundSettings) -> Result<LoadedSettings, String>,
) {
    val stopRequested = CompletableDeferred<Unit>()
    val hangUps = Channel<Unit>(Channel.CONFLATED)
    Signal.handle(Signal("TERM")) { stopRequested.complete(Unit) }
    Signal.handle(Signal("HUP")) {
        EventLog.log(Event.SETTINGS_CHANGED)
        hangUps.trySend(Unit)
    }
    val status = runCatching {
        runBlocking {
            val gateway = gatewayOf(settings, adapter)
            val reload = launch { hangUps.consumeEach { gateway.changeSettingsOrLog(readAgain) } }
            run(gateway, stopRequested)
            reload.cancel()
        }
    }.mapBoth(
        success = { 0 },
        failure = {
            EventLog.log(Event.START_FAILED, field("error", it))
            EXIT_FAILED
        },
    )
    LogManager.shutdown()
    exitProcess(status)
}

/** A settings file that no reader has foreseen must not end the process. */
private suspend fun Gateway.changeSettingsOrLog(read: (BoundSettings) -> Result<LoadedSettings, String>) {
    runCatching { changeSettings(read) }.onFailure { error ->
        if (error is CancellationException) throw error
        EventLog.log(Event.INTERNAL_ERROR, field("error", error))
    }
}

private suspend fun run(gateway: Gateway, stopRequested: CompletableDeferred<Unit>) {
    gateway.start(stopRequested)
    stopRequested.await()
    gateway.stop()
}

/** Exit code after a failure to start or to run; invalid settings exit with 2. */
private const val EXIT_FAILED: Int = 1
