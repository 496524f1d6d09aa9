/** Asks instances for their status; one that does not answer does not hold up the others. */
package pistachiopass.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import pistachiopass.status.InstanceStatus
import pistachiopass.status.STATUS_PATH
import java.io.IOException
import java.nio.channels.UnresolvedAddressException

/** Returns the answer of each address in the order given, after at most [timeoutMillis]. */
internal suspend fun askStatus(
    addresses: List<String>,
    timeoutMillis: Long,
): List<StatusResult> =
    HttpClient(CIO) { expectSuccess = false }.use { client ->
        coroutineScope { addresses.map { async { client.askOne(it, timeoutMillis) } }.awaitAll() }
    }

private suspend fun HttpClient.askOne(
    address: String,
    timeoutMillis: Long,
): StatusResult =
    try {
        withTimeoutOrNull(timeoutMillis) { askUnbounded(address) }
            ?: StatusResult(address, failure = "no answer within $timeoutMillis ms")
    } catch (e: IOException) {
        StatusResult(address, failure = "cannot be reached: ${e.message}")
    } catch (_: UnresolvedAddressException) {
        StatusResult(address, failure = "cannot be reached: the host name is unknown")
    } catch (e: SerializationException) {
        StatusResult(address, failure = "answered no status: ${e.message.orEmpty().lineSequence().first()}")
    }

private suspend fun HttpClient.askUnbounded(address: String): StatusResult {
    val response = get("http://$address$STATUS_PATH")
    if (!response.status.isSuccess()) return StatusResult(address, failure = "answered ${response.status}")
    return StatusResult(address, status = lenientJson.decodeFromString<InstanceStatus>(response.bodyAsText()))
}

private val lenientJson = Json { ignoreUnknownKeys = true }
