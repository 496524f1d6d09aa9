/** Calls of the harness to the admin addresses of the processes. */
package pistachiopass.proof.harness

import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** Sends small requests with a short time limit. */
public class ControlClient {
    private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Returns the body of a successful answer, or null when none came in time. */
    public suspend fun textOrNull(method: String, address: String, path: String, body: String = ""): String? =
        withContext(Dispatchers.IO) { sendOrNull(method, "http://$address$path", body) }

    /** Returns the decoded answer to a `GET`, or null when none came in time. */
    public suspend inline fun <reified T> getOrNull(address: String, path: String): T? =
        textOrNull("GET", address, path)?.let { CONTROL_JSON.decodeFromString<T>(it) }

    private fun sendOrNull(method: String, uri: String, body: String): String? {
        val request = HttpRequest.newBuilder(URI(uri))
            .timeout(Duration.ofMillis(LIMIT_MILLIS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build()
        return try {
            client.send(
                request,
                BodyHandlers.ofString()
            ).takeIf { HttpStatusCode.fromValue(it.statusCode()).isSuccess() }?.body()
        } catch (_: IOException) {
            null
        }
    }
}

/** Reads answers whose further fields do not matter here. */
public val CONTROL_JSON: Json = Json { ignoreUnknownKeys = true }

private const val LIMIT_MILLIS: Long = 1_000
