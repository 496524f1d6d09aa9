/** Asks instances for their status; one that does not answer does not hold up the others. */
package pistachiopass.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import pistachiopass.entry.http.checkedHttpClientOf
import pistachiopass.status.InstanceStatus
import pistachiopass.status.STATUS_PATH
import java.io.IOException
import java.nio.channels.UnresolvedAddressException

/** Returns the answer of each address in the order given, after at most [timeoutMillis]. */
internal suspend fun askStatus(
    addresses: List<String>,
    timeoutMillis: Long,
): List<StatusResult> =
    checkedHttpClientOf().use { client ->
        coroutineScope { addresses.map { async { client.askOne(it, timeoutMillis) } }.awaitAll() }
    }

private suspend fun HttpClient.askOne(
    address: String,
    timeoutMillis: Long,
): StatusResult =
    readWithin(timeoutMillis) {
        val response = get("http://$address$STATUS_PATH")
        if (response.status.isSuccess()) {
            Ok(lenientJson.decodeFromString<InstanceStatus>(response.bodyAsText()))
        } else {
            Err("answered ${response.status}")
        }
    }.mapBoth(
        success = { StatusResult(address, status = it) },
        failure = { StatusResult(address, failure = it) },
    )

/** Returns what [read] does, or why an instance gave no proper answer within [timeoutMillis]. */
internal suspend fun <T> readWithin(
    timeoutMillis: Long,
    read: suspend () -> Result<T, String>,
): Result<T, String> =
    try {
        withTimeoutOrNull(timeoutMillis) { read() } ?: Err("no answer within $timeoutMillis ms")
    } catch (e: IOException) {
        Err("cannot be reached: ${e.message}")
    } catch (_: UnresolvedAddressException) {
        Err("cannot be reached: the host name is unknown")
    } catch (e: SerializationException) {
        Err("answered nothing that can be read: ${e.message.orEmpty().lineSequence().first()}")
    }

internal val lenientJson = Json { ignoreUnknownKeys = true }
