/**
 * A Ktor plugin that applies the faults which concern whole requests: freeze, slow, reset and truncate.
 *
 * Calls under `/admin` are never hit, so that a fault can be switched off again. Reset and truncate also spare what the
 * daemon polls, so that their count is used up by the requests of callers alone.
 */
package pistachiopass.standins.fault

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.ApplicationPlugin
import io.ktor.server.application.call
import io.ktor.server.application.createApplicationPlugin
import io.ktor.server.request.path
import io.ktor.server.response.ApplicationSendPipeline
import kotlinx.coroutines.delay

/** Applies freeze on arrival and, before each answer is sent, freeze, slow, reset and truncate. */
public val FaultPlugin: ApplicationPlugin<FaultPluginConfig> =
    createApplicationPlugin("Faults", ::FaultPluginConfig) {
        val switches = pluginConfig.switches
        val proxy = pluginConfig.proxy
        application.intercept(ApplicationCallPipeline.Plugins) {
            if (call.isAdmin) return@intercept
            switches.awaitOff(FREEZE)
            if (!call.isPoll && switches.takeReset(PHASE_BEFORE)) {
                proxy()?.connectionOrNull(call.serverSidePort)?.reset()
                finish()
            }
        }
        application.sendPipeline.intercept(ApplicationSendPipeline.Before) {
            if (call.isAdmin) return@intercept
            switches.pace()
            if (call.isPoll) return@intercept
            val connection = proxy()?.connectionOrNull(call.serverSidePort)
            if (switches.takeReset(PHASE_AFTER)) {
                connection?.reset()
                finish()
            } else {
                switches.takeOrNull(TRUNCATE)?.let { connection?.truncateAfter(it.afterBytes) }
            }
        }
    }

/** Waits out a freeze and then the delay of the fault `slow`; streams call it before each chunk. */
public suspend fun FaultSwitches.pace() {
    awaitOff(FREEZE)
    takeOrNull(SLOW)?.let { delay(it.millis) }
    awaitOff(FREEZE)
}

/** The remote port of this call's connection as the server sees it; identifies the connection in a [TcpProxy]. */
public val ApplicationCall.serverSidePort: Int get() = request.local.remotePort

private val ApplicationCall.isAdmin: Boolean get() = request.path().startsWith("/admin/")

private val ApplicationCall.isPoll: Boolean get() = request.path() in POLL_PATHS

private fun FaultSwitches.takeReset(phase: String): Boolean = takeOrNull(RESET) { it.phase == phase } != null

private val POLL_PATHS: Set<String> = setOf("/v1/load", "/v1/cache-events")
