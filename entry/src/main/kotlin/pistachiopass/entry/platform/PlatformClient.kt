/** Client that reads and watches the documents that the platform publishes. */
package pistachiopass.entry.platform

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import pistachiopass.entry.http.checkedHttpClientOf
import pistachiopass.model.InstanceId
import pistachiopass.model.TableVersion
import pistachiopass.tables.relay.WatchOutcome

/** Watches documents that the platform publishes. */
public interface PlatformClient {
    /** Waits up to [waitMillis] for a version of [document] that is newer than [after]. */
    public suspend fun watch(document: String, after: TableVersion, waitMillis: Long): WatchOutcome
}

/** Returns a client of the platform at [address], which counts the calls of each instance by its id. */
public fun platformClientOf(address: String, instance: InstanceId): HttpPlatformClient =
    HttpPlatformClient(address, instance)

/** Calls the platform over HTTP; a watch is a long poll. */
public class HttpPlatformClient internal constructor(
    private val address: String,
    private val instance: InstanceId,
) : PlatformClient, AutoCloseable {
    private val client: HttpClient = checkedHttpClientOf {
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
            requestTimeoutMillis = MAX_WATCH_WAIT_MILLIS + RESPONSE_SLACK_MILLIS
            socketTimeoutMillis = MAX_WATCH_WAIT_MILLIS + RESPONSE_SLACK_MILLIS
        }
    }

    override suspend fun watch(document: String, after: TableVersion, waitMillis: Long): WatchOutcome {
        require(
            waitMillis <= MAX_WATCH_WAIT_MILLIS
        ) { "waitMillis must be at most $MAX_WATCH_WAIT_MILLIS, was $waitMillis" }
        val uri = "http://$address/v1/documents/$document?after=$after&waitMillis=$waitMillis"
        return try {
            val response = client.get(uri) { header("X-Instance", instance.value) }
            when (response.status) {
                HttpStatusCode.OK -> WatchOutcome.Changed(Json.decodeFromString(response.bodyAsText()))
                HttpStatusCode.NotModified -> WatchOutcome.Unchanged
                else -> WatchOutcome.Unavailable("HTTP status ${response.status.value}")
            }
        } catch (exception: IOException) {
            WatchOutcome.Unavailable(exception::class.simpleName.orEmpty())
        } catch (exception: SerializationException) {
            WatchOutcome.Unavailable("malformed reply: ${exception::class.simpleName}")
        }
    }

    override fun close(): Unit = client.close()
}

/** Maximum wait of a watch. */
public const val MAX_WATCH_WAIT_MILLIS: Long = 20_000

private const val CONNECT_TIMEOUT_MILLIS: Long = 1_000
private const val RESPONSE_SLACK_MILLIS: Long = 5_000
