/** The calls by which a test switches faults of a stand-in: `POST /admin/faults` and `GET /admin/faults`. */
package pistachiopass.standins.fault

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import pistachiopass.standins.respondJson

/**
 * Adds the fault calls to this route.
 *
 * A fault outside [supported] is answered `400`. [proxy] carries out `silence`; [actions] carry out the other faults
 * that act at the moment of switching.
 */
public fun Route.faultRoutes(
    switches: FaultSwitches,
    supported: Set<String> = GENERIC_FAULTS,
    proxy: () -> TcpProxy? = { null },
    actions: FaultActions = DefaultFaultActions,
) {
    get(FAULTS_PATH) { respondFaults(switches) }
    post(FAULTS_PATH) {
        val setting = settingOrNull(call.receiveText())?.takeIf { it.fault in supported }
        if (setting == null) {
            call.respondText("not one of $supported", status = HttpStatusCode.BadRequest)
        } else {
            switches.set(setting)
            if (setting.on && setting.fault == KILL) actions.kill()
            if (setting.on && setting.fault == SILENCE) proxy()?.silenceAll(exceptPort = call.serverSidePort)
            actions.onChange(setting)
            respondFaults(switches)
        }
    }
}

private suspend fun RoutingContext.respondFaults(switches: FaultSwitches) {
    call.respondJson(switches.all())
}

private fun settingOrNull(text: String): FaultSetting? =
    try {
        Json.decodeFromString<FaultSetting>(text)
    } catch (_: SerializationException) {
        null
    }

private const val FAULTS_PATH: String = "/admin/faults"
