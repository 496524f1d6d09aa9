/** What all stand-in processes do around their server: say that they are ready and serve until they are stopped. */
package pistachiopass.standins

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import pistachiopass.standins.fault.FaultyServer

/** Starts a server, prints `ready {port}` on standard output and serves until the process ends. */
public fun serveUntilStopped(start: suspend () -> FaultyServer): Unit =
    runBlocking {
        start().use { server ->
            println("ready ${server.port}")
            System.out.flush()
            awaitCancellation()
        }
    }
