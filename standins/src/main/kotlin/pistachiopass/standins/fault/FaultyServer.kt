/** An HTTP server behind a [TcpProxy], with the fault calls and the fault plugin in place. */
package pistachiopass.standins.fault

import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing

/** Holds a running server; [port] is the one that callers use. */
public class FaultyServer internal constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
    private val proxy: TcpProxy,
) : AutoCloseable {
    /** The port on which callers are served. */
    public val port: Int get() = proxy.port

    /** Resets every open connection but those of [exceptPorts], as a process that falls over does. */
    public fun resetAll(exceptPorts: Set<Int> = emptySet()): Unit = proxy.resetAll(exceptPorts)

    override fun close() {
        proxy.close()
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
    }
}

/**
 * Starts [module] on [port] of the loopback interface and returns the server; port 0 takes a free one.
 *
 * [supported] names the faults that can be switched. [actions] carry out those that act when switched.
 */
public suspend fun startFaultyServer(
    port: Int,
    switches: FaultSwitches,
    supported: Set<String> = GENERIC_FAULTS,
    actions: FaultActions = DefaultFaultActions,
    module: Application.() -> Unit,
): FaultyServer {
    var proxy: TcpProxy? = null
    val server =
        embeddedServer(CIO, port = 0, host = LOOPBACK_HOST) {
            install(FaultPlugin) {
                this.switches = switches
                this.proxy = { proxy }
            }
            routing { faultRoutes(switches, supported, { proxy }, actions) }
            module()
        }
    server.startSuspend(wait = false)
    val started = tcpProxyOf(port, server.engine.resolvedConnectors().first().port)
    proxy = started
    return FaultyServer(server, started)
}

private const val LOOPBACK_HOST: String = "127.0.0.1"
