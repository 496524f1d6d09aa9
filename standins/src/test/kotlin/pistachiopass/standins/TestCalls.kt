/** HTTP calls that the tests of the stand-ins share. */
package pistachiopass.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Calls one stand-in; each caller object has connections of its own. */
internal class TestCalls(private val port: Int) {
    private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> = sendAsync(method, path, body, headers).join()

    fun sendAsync(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<HttpResponse<String>> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$port$path"))
                .timeout(Duration.ofSeconds(30))
                .method(method, BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), BodyHandlers.ofString())
    }

    fun fault(setting: String): Int = send("POST", "/admin/faults", setting).statusCode()
}
