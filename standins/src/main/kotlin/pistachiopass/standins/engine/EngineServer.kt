/** Server of one stand-in engine: the core, its runner and its HTTP routes. */
package pistachiopass.standins.engine

import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import pistachiopass.standins.fault.FaultSwitches
import java.util.UUID

/** Serves one engine on a port of the loopback interface. */
internal class EngineServer(settings: EngineSettings, private val port: Int) {
    private val faults: FaultSwitches = FaultSwitches()
    private val core: EngineCore = EngineCore(settings, ::newStartId)
    private val runner: EngineRunner = EngineRunner(core, faults, onRestart = {})
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = port, host = LOOPBACK_HOST) {
            routing { EngineRoutes(runner, faults).addTo(this) }
        }
    private var steps: Job? = null

    /** Starts to serve and returns the port. */
    suspend fun start(scope: CoroutineScope): Int {
        steps = scope.launch { runner.run() }
        server.startSuspend(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    /** Stops to serve. */
    suspend fun stop() {
        steps?.cancel()
        server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = 0)
    }

    private companion object {
        const val LOOPBACK_HOST = "127.0.0.1"
    }
}

private fun newStartId(): String = UUID.randomUUID().toString().substringBefore('-')
