/** Server of one stand-in engine: the core, its runner, its HTTP routes and its faults. */
package pistachiopass.standins.engine

import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.path
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import pistachiopass.standins.fault.FaultActions
import pistachiopass.standins.fault.FaultSetting
import pistachiopass.standins.fault.FaultSwitches
import pistachiopass.standins.fault.FaultyServer
import pistachiopass.standins.fault.GENERIC_FAULTS
import pistachiopass.standins.fault.RESET
import pistachiopass.standins.fault.TRUNCATE
import pistachiopass.standins.fault.serverSidePort
import pistachiopass.standins.fault.startFaultyServer
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Serves one engine on [port] of the loopback interface; 0 takes a free port.
 *
 * The fault `kill` ends the process when the engine [isAlone] in it, and else the engine's server.
 */
public class EngineServer(
    private val settings: EngineSettings,
    private val port: Int,
    private val isAlone: Boolean = true,
) : FaultActions {
    private val faults: FaultSwitches = FaultSwitches()
    private val core: EngineCore = EngineCore(settings, ::newStartId) { server?.resetAll(adminPorts) }
    private val runner: EngineRunner = EngineRunner(core, faults)

    @Volatile
    private var server: FaultyServer? = null

    /** Server-side ports of the connections whose `/admin` call is being answered; a restart spares them. */
    private val adminPorts: MutableSet<Int> = ConcurrentHashMap.newKeySet()
    private var steps: Job? = null

    /** Starts to serve and returns the port. */
    public suspend fun start(scope: CoroutineScope): Int {
        val started = startFaultyServer(port, faults, ENGINE_FAULTS, this) { addRoutes() }
        server = started
        steps = scope.launch { runner.run() }
        return started.port
    }

    /** Stops to serve. */
    public fun stop() {
        steps?.cancel()
        server?.close()
    }

    private fun Application.addRoutes() {
        intercept(ApplicationCallPipeline.Monitoring) {
            if (call.request.path().startsWith("/admin/")) {
                adminPorts += call.serverSidePort
                try {
                    proceed()
                } finally {
                    adminPorts -= call.serverSidePort
                }
            }
        }
        routing {
            EngineRoutes(runner, faults).addTo(this)
            ControlRoutes(runner, settings).addTo(this)
        }
    }

    override fun kill() {
        if (isAlone) super.kill() else thread(isDaemon = true) { stop() }
    }

    override suspend fun onChange(setting: FaultSetting) {
        if (!setting.on) return
        when (setting.fault) {
            COLD -> runner.use { markCold(it) }
            RESTART -> runner.use { restart() }
        }
    }
}

private fun newStartId(): String = UUID.randomUUID().toString().substringBefore('-')

/** Turns the engine cold without a new start id. */
internal const val COLD: String = "cold"

/** Lets the engine lose all state and come back cold with a new start id. */
internal const val RESTART: String = "restart"

/** Some chunks come late, after later ones. */
internal const val LATE_CHUNKS: String = "late-chunks"

/** Some chunks come twice. */
internal const val DUPLICATE_CHUNKS: String = "duplicate-chunks"

/** The load report stops changing. */
internal const val STALE_LOAD: String = "stale-load"

/** The load report answers `503`. */
internal const val NO_LOAD: String = "no-load"

private val ENGINE_FAULTS: Set<String> = GENERIC_FAULTS +
    setOf(TRUNCATE, RESET, COLD, RESTART, LATE_CHUNKS, DUPLICATE_CHUNKS, STALE_LOAD, NO_LOAD)
