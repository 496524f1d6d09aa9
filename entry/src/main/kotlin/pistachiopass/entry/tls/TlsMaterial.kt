/**
 * Keys and trusted certificates for TLS, loaded from the files that the settings name.
 *
 * The same keys and certificates serve connections to peers (`SSLContext`), the HTTPS server for callers (a connector
 * of Ktor's Netty engine) and the HTTP client (trust manager and key of Ktor's CIO engine).
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

/** A loaded key store and trust store. */
public class TlsMaterial internal constructor(
    private val keyStore: KeyStore,
    private val keyPassword: CharArray,
    trustStore: KeyStore,
) {
    private val trustManagers: TrustManagerFactory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(trustStore) }

    /** The trust manager of the trust store; the JDK's default certificate authorities are not trusted. */
    public val trustManager: X509TrustManager = trustManagers.trustManagers.filterIsInstance<X509TrustManager>().first()

    /** Returns a context that presents this instance's certificate and trusts those of the trust store. */
    public fun sslContext(): SSLContext {
        val keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
        keyManagers.init(keyStore, keyPassword)
        return SSLContext.getInstance("TLS").apply {
            init(keyManagers.keyManagers, trustManagers.trustManagers, null)
        }
    }

    /** Adds an HTTPS connector with this instance's certificate to a server; clients need no certificate. */
    public fun addConnector(configuration: ApplicationEngine.Configuration, host: String, port: Int) {
        val alias = keyStore.aliases().asSequence().first(keyStore::isKeyEntry)
        val connector = EngineSSLConnectorBuilder(keyStore, alias, { keyPassword }, { keyPassword })
        connector.host = host
        connector.port = port
        configuration.connectors.add(connector)
    }

    /** Makes Ktor's CIO client trust the trust store and present this instance's certificate. */
    public fun configureClient(builder: TLSConfigBuilder) {
        builder.trustManager = trustManager
        builder.addKeyStore(keyStore, keyPassword)
    }
}

/** Loads the stores that [settings] name; throws an `IOException` for missing or invalid files. */
public fun tlsMaterialOf(settings: TlsSettings): TlsMaterial {
    val keyPassword = passwordOf(settings.keyStorePasswordFile)
    val keyStore = storeOf(settings.keyStoreFile, keyPassword)
    require(keyStore.aliases().asSequence().any(keyStore::isKeyEntry)) {
        "key store ${settings.keyStoreFile} contains no key"
    }
    return TlsMaterial(
        keyStore,
        keyPassword,
        storeOf(settings.trustStoreFile, passwordOf(settings.trustStorePasswordFile)),
    )
}

private fun passwordOf(file: String): CharArray = File(file).readText().trimEnd().toCharArray()

private fun storeOf(file: String, password: CharArray): KeyStore =
    KeyStore.getInstance("PKCS12").apply { File(file).inputStream().use { load(it, password) } }
