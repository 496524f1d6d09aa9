/** Construction of the server towards callers, with TLS where the settings give keys. */
package pistachiopass.entry.http

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import pistachiopass.entry.HostPort
import pistachiopass.entry.settings.Settings
import pistachiopass.entry.tls.tlsMaterialOf

/**
 * Returns a server on the settings' HTTP address that is not started yet.
 *
 * Netty serves both plain HTTP and TLS, and waits for the caller's connection before it takes more of a response, which
 * keeps the memory of a slow reader bounded.
 */
internal fun callerServerOf(settings: Settings, module: Application.() -> Unit): EmbeddedServer<*, *> =
    embeddedServer(
        Netty,
        configure = {
            val address = HostPort(settings.httpAddress)
            val tls = settings.tls?.let { tlsMaterialOf(it) }
            responseWriteTimeoutSeconds = (settings.limits.stallMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
            if (tls == null) {
                connector {
                    host = address.host
                    port = address.port
                }
            } else {
                tls.addConnector(this, address.host, address.port)
            }
        },
        module = module,
    )

private const val MILLIS_PER_SECOND: Long = 1_000
