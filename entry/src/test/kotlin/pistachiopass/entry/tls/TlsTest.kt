/** Tests TLS between peers, for callers and in the HTTP client, with key stores generated for the test. */
package pistachiopass.entry.tls

import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.io.TempDir
import pistachiopass.entry.peer.TestPeer
import pistachiopass.entry.peer.TlsConnections
import pistachiopass.entry.peer.checkStalledPeer
import pistachiopass.entry.settings.TlsSettings
import pistachiopass.model.InstanceId
import pistachiopass.model.Verdict
import pistachiopass.peer.PeerFailureCode
import java.io.IOException
import java.nio.file.Path
import java.security.GeneralSecurityException
import java.security.KeyStore
import kotlin.io.path.inputStream
import kotlin.io.path.outputStream
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TlsTest {
    @Test
    fun `peers need a trusted certificate on both sides`() = runBlocking {
        val cases = listOf(
            Triple("fleet", "fleet", true),
            Triple("stranger", "fleet", false),
            Triple("fleet", "stranger", false),
            Triple(null, "fleet", false),
            Triple("fleet", null, false),
        )
        for ((clientKey, serverKey, isAccepted) in cases) {
            val ports = HashMap<InstanceId, Int>()
            TestPeer("s", ports, tls = serverKey?.let { material(it).sslContext() }).use { server ->
                server.listen()
                TestPeer("c", ports, tls = clientKey?.let { material(it).sslContext() }).use { client ->
                    val failure = client.call(server.id, payload = ByteArray(LARGE_BYTES)).getError()
                    val expected = if (isAccepted) null else PeerFailureCode.UNREACHABLE to Verdict.NOT_RUN
                    assertEquals(expected, failure?.let { it.code to it.verdict }, "$clientKey to $serverKey")
                    assertEquals(if (isAccepted) 1 else 0, server.handled.size, "$clientKey to $serverKey")
                }
            }
        }
    }

    @Test
    fun `closing the connection ends a blocked write`() = runBlocking {
        val context = material("fleet").sslContext()
        TlsConnections(context).use { checkStalledPeer(it, context) }
    }

    @Test
    fun `callers accept an HTTPS server only with a certificate that they trust`() = runBlocking {
        for ((serverKey, isTrusted) in listOf("fleet" to true, "stranger" to false)) {
            val server = embeddedServer(Netty, configure = { material(serverKey).addConnector(this, "127.0.0.1", 0) }) {
                routing { get("/") { call.respondText("served") } }
            }.startSuspend()
            val client = HttpClient(CIO) { engine { https { material("fleet").configureClient(this) } } }
            val url = "https://127.0.0.1:${server.engine.resolvedConnectors().first().port}/"
            val outcome = client.use { runCatching { it.get(url).bodyAsText() } }
            server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = 1_000)
            assertEquals(isTrusted, outcome.getOrNull() == "served", "$serverKey: ${outcome.exceptionOrNull()}")
            val refusal = outcome.exceptionOrNull()
            assertTrue(isTrusted || refusal is GeneralSecurityException || refusal is IOException, "$refusal")
        }
    }

    private companion object {
        @TempDir
        @JvmStatic
        lateinit var directory: Path

        @BeforeAll
        @JvmStatic
        fun makeStores() {
            directory.resolve("password").writeText("$PASSWORD\n")
            listOf("fleet", "stranger").forEach(::generateKey)
            val certificate = load("fleet").getCertificate("fleet")
            val trust = KeyStore.getInstance("PKCS12").apply { load(null, null) }
            trust.setCertificateEntry("fleet", certificate)
            directory.resolve("trust.p12").outputStream().use { trust.store(it, PASSWORD.toCharArray()) }
        }

        fun material(key: String): TlsMaterial {
            val password = directory.resolve("password").toString()
            val (keyFile, trustFile) = listOf(key, "trust").map { directory.resolve("$it.p12").toString() }
            return tlsMaterialOf(TlsSettings(keyFile, password, trustFile, password))
        }

        private fun load(name: String): KeyStore = KeyStore.getInstance("PKCS12").apply {
            directory.resolve("$name.p12").inputStream().use { load(it, PASSWORD.toCharArray()) }
        }

        private fun generateKey(name: String) {
            val keytool = Path.of(System.getProperty("java.home"), "bin", "keytool").toString()
            val options = "-genkeypair -alias $name -keyalg RSA -keysize 2048 -dname CN=$name -ext san=ip:127.0.0.1 " +
                "-validity 2 -storetype PKCS12 -storepass $PASSWORD -keystore"
            val command = listOf(keytool) + options.split(' ') + directory.resolve("$name.p12").toString()
            val process = ProcessBuilder(command).redirectErrorStream(true).start()
            val output = process.inputStream.bufferedReader().readText()
            check(process.waitFor() == 0) { output }
        }
    }
}

private const val LARGE_BYTES = 4_000_000
private const val PASSWORD = "for-this-test"
