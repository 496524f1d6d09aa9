/** Sends the requests of a load run to the entry instances and reads their answers. */
package pistachiopass.standins.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import pistachiopass.model.VERDICT_HEADER
import pistachiopass.model.WORKSPACE_HEADER

/** Calls [targets], which are `host:port`, in turn; [close] ends all connections. */
public class LoadCaller(private val scenario: Scenario, private val targets: List<String>) : AutoCloseable {
    private val client: HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
            }
        }

    override fun close(): Unit = client.close()

    /** Sends [arrival] and returns its outcome; [elapsedMillis] counts from the intended send time. */
    public suspend fun call(arrival: Arrival, elapsedMillis: () -> Double): Outcome {
        val target = targets[arrival.number % targets.size]
        var firstTokenMillis: Double? = null
        val failure =
            runCatching {
                withTimeout(scenario.timeoutMillis) {
                    send(arrival, target) { firstTokenMillis = firstTokenMillis ?: elapsedMillis() }
                }
            }.getOrElse(::failureTextOf)
        return Outcome(arrival, firstTokenMillis, elapsedMillis(), failure)
    }

    private suspend fun send(arrival: Arrival, target: String, onToken: () -> Unit): String? {
        val path = if (arrival.isBooking) "/pickups" else "/v1/chat/completions"
        val body = if (arrival.isBooking) bookingBody(arrival) else completionBody(arrival)
        return client
            .preparePost("http://$target$path") {
                header(WORKSPACE_HEADER, arrival.workspace)
                if (arrival.isBooking) header("Idempotency-Key", "load-${scenario.seed}-${arrival.number}")
                contentType(ContentType.Application.Json)
                setBody(body.toString())
            }.execute { response -> failureOrNull(response, arrival, onToken) }
    }

    private suspend fun failureOrNull(response: HttpResponse, arrival: Arrival, onToken: () -> Unit): String? {
        if (response.status != HttpStatusCode.OK) {
            return "status ${response.status.value}, verdict ${response.headers[VERDICT_HEADER] ?: "none"}"
        }
        return if (arrival.isBooking) readBooking(response) else readStream(response, onToken)
    }

    private suspend fun readBooking(response: HttpResponse): String? {
        response.bodyAsText()
        return null
    }

    private suspend fun readStream(response: HttpResponse, onToken: () -> Unit): String? {
        val check = StreamCheck()
        val channel = response.bodyAsChannel()
        var line = channel.readLine()
        while (line != null) {
            if (check.takeLine(line)) onToken()
            line = channel.readLine()
        }
        return check.flawAtEndOrNull()?.let { "answer not whole: $it" }
    }

    private fun bookingBody(arrival: Arrival): JsonObject = buildJsonObject { put("pickup", arrival.number) }

    private fun completionBody(arrival: Arrival): JsonObject =
        buildJsonObject {
            put("model", scenario.model)
            put("stream", true)
            put("max_tokens", scenario.answerTokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", promptOf(arrival))
                }
            }
        }
}

/** Returns what a request failed of; the end of the whole run and errors of the JVM are thrown again. */
private fun failureTextOf(failure: Throwable): String = when (failure) {
    is TimeoutCancellationException -> "timeout of the caller"
    is CancellationException, is Error -> throw failure
    is IOException -> "connection: ${failure::class.simpleName}"
    else -> "caller: ${failure::class.simpleName}"
}

/** Returns a prompt of exactly the planned number of tokens; requests of a workspace share its beginning. */
internal fun promptOf(arrival: Arrival): String {
    val characters = arrival.promptTokens * CHARACTERS_PER_TOKEN
    val shared = "${arrival.workspace} archive ".repeat(SHARED_PREFIX_REPEATS)
    val start = shared.take(characters / 2)
    val own = "note ${arrival.number} "
    return start + own.repeat(characters / own.length + 1).take(characters - start.length)
}

private const val MAX_CONNECTIONS: Int = 4096
private const val CHARACTERS_PER_TOKEN: Int = 4
private const val SHARED_PREFIX_REPEATS: Int = 200
