/**
 * Keys and trusted certificates for TLS, loaded from the files that the settings name.
 *
 * Peers, callers and the HTTP client share them: an `SSLContext` for sockets, a connector for Ktor's Netty server and
 * the trust for Ktor's CIO client.
 */
package pistachiopass.entry.tls

import io.ktor.network.tls.TLSConfigBuilder
import io.ktor.network.tls.addKeyStore
import io.ktor.server.engine.ApplicationEngine
import io.ktor.server.engine.EngineSSLConnectorBuilder
import pistachiopass.entry.settings.TlsSettings
import java.io.File
import java.security.KeyStore
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.TrustManagerFactory
import javax.net.ssl.X509TrustManager

/** Holds the loaded stores. */
public class TlsMaterial internal constructor(
    private val keyStore: KeyStore,
    private val keyPassword: CharArray,
    trustStore: KeyStore,
) {
    private val trustManagers: TrustManagerFactory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(trustStore) }

    /** The trust manager over the trust store alone; the JDK's own authorities are not trusted. */
    public val trustManager: X509TrustManager = trustManagers.trustManagers.filterIsInstance<X509TrustManager>().first()

    /** Returns a context that shows this instance's certificate and trusts those of the trust store. */
    public fun sslContext(): SSLContext {
        val keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
        keyManagers.init(keyStore, keyPassword)
        return SSLContext.getInstance("TLS").apply {
            init(keyManagers.keyManagers, trustManagers.trustManagers, null)
        }
    }

    /** Adds an HTTPS connector with this instance's certificate to a server; callers need no certificate. */
    public fun addConnector(configuration: ApplicationEngine.Configuration, host: String, port: Int) {
        val alias = keyStore.aliases().asSequence().first(keyStore::isKeyEntry)
        val connector = EngineSSLConnectorBuilder(keyStore, alias, { keyPassword }, { keyPassword })
        connector.host = host
        connector.port = port
        configuration.connectors.add(connector)
    }

    /** Makes Ktor's CIO client trust the trust store and show this instance's certificate. */
    public fun configureClient(builder: TLSConfigBuilder) {
        builder.trustManager = trustManager
        builder.addKeyStore(keyStore, keyPassword)
    }
}

/** Returns the material that [settings] name; throws an `IOException` for files that are absent or wrong. */
public fun tlsMaterialOf(settings: TlsSettings): TlsMaterial {
    val keyPassword = passwordOf(settings.keyStorePasswordFile)
    val keyStore = storeOf(settings.keyStoreFile, keyPassword)
    require(keyStore.aliases().asSequence().any(keyStore::isKeyEntry)) { "no key in ${settings.keyStoreFile}" }
    return TlsMaterial(
        keyStore,
        keyPassword,
        storeOf(settings.trustStoreFile, passwordOf(settings.trustStorePasswordFile)),
    )
}

private fun passwordOf(file: String): CharArray = File(file).readText().trimEnd().toCharArray()

private fun storeOf(file: String, password: CharArray): KeyStore =
    KeyStore.getInstance("PKCS12").apply { File(file).inputStream().use { load(it, password) } }
