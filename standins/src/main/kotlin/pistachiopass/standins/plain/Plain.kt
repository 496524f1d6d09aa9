/** The stand-in for a plain service: it records every run and keeps nothing apart from that. */
package pistachiopass.standins.plain

import io.ktor.server.routing.routing
import pistachiopass.standins.fault.FaultSwitches
import pistachiopass.standins.fault.FaultyServer
import pistachiopass.standins.fault.GENERIC_FAULTS
import pistachiopass.standins.fault.RESET
import pistachiopass.standins.fault.TRUNCATE
import pistachiopass.standins.fault.startFaultyServer
import java.util.UUID

/** Starts the plain service named [endpoint] on [port] and returns its server; port 0 takes a free one. */
public suspend fun startPlain(port: Int, endpoint: String, runs: RunLog = RunLog()): FaultyServer =
    startFaultyServer(
        port = port,
        switches = FaultSwitches(),
        supported = GENERIC_FAULTS + TRUNCATE + RESET,
    ) {
        routing { plainRoutes(endpoint, startId = UUID.randomUUID().toString(), runs) }
    }
