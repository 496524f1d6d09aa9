/** Construction of the HTTP server for callers, with TLS if the settings name a key store. */
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
 * Returns a server, not yet started, on the HTTP address of the settings.
 *
 * Netty serves both plain HTTP and TLS. It reads no more of a response while the caller's connection accepts no bytes,
 * which bounds the memory held for a slow reader.
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
