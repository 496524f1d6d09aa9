/** The stand-in for the platform: its documents, its call counter and its faults, behind one port. */
package pistachiopass.standins.platform

import io.ktor.server.routing.routing
import pistachiopass.standins.fault.FaultActions
import pistachiopass.standins.fault.FaultSetting
import pistachiopass.standins.fault.FaultSwitches
import pistachiopass.standins.fault.FaultyServer
import pistachiopass.standins.fault.GENERIC_FAULTS
import pistachiopass.standins.fault.startFaultyServer

/** Documents stop changing for readers. */
internal const val STALE: String = "stale"

/** Every document call answers `503`. */
internal const val ABSENT: String = "absent"

/** Starts a platform on [port] that publishes [store] and returns its server; port 0 takes a free one. */
public suspend fun startPlatform(
    port: Int,
    store: DocumentStore = DocumentStore(),
    calls: CallCounter = CallCounter(),
): FaultyServer {
    val switches = FaultSwitches()
    return startFaultyServer(
        port = port,
        switches = switches,
        supported = GENERIC_FAULTS + STALE + ABSENT,
        actions =
        object : FaultActions {
            override suspend fun onChange(setting: FaultSetting) = store.setStale(switches[STALE] != null)
        },
    ) {
        routing {
            documentRoutes(store, calls, switches)
            platformAdminRoutes(store, calls)
        }
    }
}
