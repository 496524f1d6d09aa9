/** HTTP client for endpoints. It never sends a request twice; its caller decides on retries by the verdict. */
package pistachiopass.entry.endpoint

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.runCatching
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.prepareRequest
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ensureActive
import kotlinx.io.IOException
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import pistachiopass.entry.http.checkedHttpClientOf
import pistachiopass.model.Endpoint
import pistachiopass.model.EndpointId
import pistachiopass.model.Failure
import pistachiopass.model.FailureCode
import pistachiopass.model.ModelName
import pistachiopass.model.PoolKind
import pistachiopass.model.RequestId
import pistachiopass.model.StartId
import pistachiopass.model.Verdict
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlin.coroutines.coroutineContext

/** Sends requests to all endpoints. */
public class EndpointClient internal constructor(private val client: HttpClient) : AutoCloseable {
    /**
     * Sends one request and passes the response to [receive].
     *
     * Fails with `not run` if no connection was established or a model engine refused the request with 503 and
     * `Retry-After`, and with `may have run` after any other error. A 503 of a plain service is passed to [receive],
     * since a service may return it after it ran the request.
     */
    public suspend fun <T> exchange(
        endpoint: Endpoint,
        kind: PoolKind,
        uri: String,
        build: HttpRequestBuilder.() -> Unit,
        receive: suspend (HttpResponse) -> Result<T, Failure>,
    ): Result<T, Failure> {
        var isAnswered = false
        return runCatching {
            client.prepareRequest("http://${endpoint.address}$uri", build).execute { response ->
                isAnswered = true
                val isRefusal = kind == PoolKind.MODEL && response.isRefusal()
                if (isRefusal) Err(endpoint.refusalFailure(response)) else receive(response)
            }
        }.getOrElse { cause ->
            coroutineContext.ensureActive()
            Err(if (isAnswered) endpoint.connectionLostFailure(cause) else endpoint.requestFailure(cause))
        }
    }

    /** Returns the load report of an endpoint, or null if it returns no valid report in time. */
    public suspend fun loadOrNull(endpoint: Endpoint): LoadReport? =
        try {
            val response = client.get("http://${endpoint.address}/v1/load") {
                timeout { requestTimeoutMillis = LOAD_TIMEOUT_MILLIS }
            }
            if (response.status.isSuccess()) lenientJson.decodeFromString(response.bodyAsText()) else null
        } catch (_: IOException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

    /** Cancels a request and returns whether the endpoint confirmed that it holds nothing for it any longer. */
    public suspend fun cancel(endpoint: Endpoint, request: RequestId): Boolean =
        try {
            val id = request.value.encodeURLPathPart()
            val response = client.delete("http://${endpoint.address}/v1/requests/$id") {
                timeout { requestTimeoutMillis = LOAD_TIMEOUT_MILLIS }
            }
            response.status.isSuccess() || response.status == HttpStatusCode.NotFound
        } catch (_: IOException) {
            false
        }

    override fun close(): Unit = client.close()
}

/** Returns a client that closes a connection after [readIdleMillis] without a byte. */
public fun endpointClientOf(readIdleMillis: Long): EndpointClient =
    EndpointClient(
        checkedHttpClientOf {
            engine {
                dispatcher = Dispatchers.IO.limitedParallelism(MAX_CONNECTIONS)
                config { allowConcurrentCalls() }
            }
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
                socketTimeoutMillis = readIdleMillis
            }
        },
    )

private fun OkHttpClient.Builder.allowConcurrentCalls() {
    dispatcher(
        Dispatcher().apply {
            maxRequests = MAX_CONNECTIONS
            maxRequestsPerHost = MAX_CONNECTIONS_PER_ENDPOINT
        },
    )
}

/** Load that an endpoint reports; it lags behind the actual load. */
@Serializable
public data class LoadReport(
    val endpoint: EndpointId,
    val startId: StartId,
    val cold: Boolean = false,
    val capacityTokens: Long = 0,
    val usedTokens: Long = 0,
    val slots: Int = 0,
    val requests: List<ReportedRequest> = emptyList(),
    val models: List<ModelName> = emptyList(),
    val completedTokens: Long = 0,
    val ageMillis: Long = 0,
)

/** One request in a load report. */
@Serializable
public data class ReportedRequest(val id: RequestId, val tokens: Long = 0, val state: String = "")

private fun HttpResponse.isRefusal(): Boolean =
    status == HttpStatusCode.ServiceUnavailable && HttpHeaders.RetryAfter in headers

private fun Endpoint.refusalFailure(response: HttpResponse): Failure = Failure(
    FailureCode.NO_ENDPOINT,
    Verdict.NOT_RUN,
    "endpoint $id refused the request",
    retryAfterMillis = response.headers[HttpHeaders.RetryAfter]?.toLongOrNull()?.times(MILLIS_PER_SECOND),
    endpoint = id,
)

private fun Endpoint.requestFailure(cause: Throwable): Failure =
    when (cause) {
        is ConnectException, is ConnectTimeoutException, is UnresolvedAddressException -> unreachableFailure(cause)
        else -> connectionLostFailure(cause)
    }

private fun Endpoint.unreachableFailure(cause: Throwable): Failure = Failure(
    FailureCode.NO_ENDPOINT,
    Verdict.NOT_RUN,
    "endpoint $id cannot be reached: ${cause::class.simpleName}",
    endpoint = id,
)

private fun Endpoint.connectionLostFailure(cause: Throwable): Failure = Failure(
    FailureCode.ENDPOINT_FAILED,
    Verdict.MAY_HAVE_RUN,
    "connection to endpoint $id was lost: ${cause::class.simpleName}",
    endpoint = id,
)

private val lenientJson: Json = Json { ignoreUnknownKeys = true }

private const val CONNECT_TIMEOUT_MILLIS: Long = 1_000
private const val LOAD_TIMEOUT_MILLIS: Long = 1_000

/** Concurrent calls; each holds a connection, and a thread while its response is read. */
private const val MAX_CONNECTIONS: Int = 4_096
private const val MAX_CONNECTIONS_PER_ENDPOINT: Int = 1_024
private const val MILLIS_PER_SECOND: Long = 1_000
