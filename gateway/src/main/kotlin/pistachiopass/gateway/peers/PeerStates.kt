/** The published state over HTTP between instances, for changes that do not fit a datagram. */
package pistachiopass.gateway.peers

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.ExperimentalSerializationApi
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.http.HttpClient
import pistachiopass.gateway.http.HttpClientResponse
import pistachiopass.gateway.model.Address
import pistachiopass.published.Revision
import java.io.IOException
import java.util.zip.GZIPInputStream

/** What came of fetching the state of another instance. */
internal sealed interface FetchResult {
    class Received(val peerState: PeerState) : FetchResult

    /** The instance gives its state to others, or has none. */
    data object Busy : FetchResult

    /** The instance did not respond properly in time. */
    data object Failed : FetchResult
}

/** Fetches the published state of other instances. */
internal class PeerStateClient(private val client: HttpClient) {
    /** Fetches what the instance at [address] has beyond [after]. */
    suspend fun fetch(address: Address, after: Revision?): FetchResult =
        get(address, STATE_PATH + after?.let { AFTER_QUERY + it }.orEmpty())

    /** Returns what the instance at [address] believes against the store, or null if it did not respond properly. */
    suspend fun fetchHeldOrNull(address: Address): PeerState? =
        (get(address, STATE_PATH + HELD_QUERY) as? FetchResult.Received)?.peerState

    private suspend fun get(address: Address, uri: String): FetchResult {
        val response = client.getOrNull(address, uri, FETCH_TIMEOUT_MILLIS, GZIP_ACCEPTED)
        return when (response?.status) {
            HttpResponseStatus.OK.code() -> peerStateOrNull(response)?.let(FetchResult::Received) ?: FetchResult.Failed
            HttpResponseStatus.SERVICE_UNAVAILABLE.code() -> FetchResult.Busy
            else -> FetchResult.Failed
        }
    }
}

/** Returns the state in [response], with its age from the header if that is there; null if it cannot be read. */
internal fun peerStateOrNull(response: HttpClientResponse): PeerState? =
    try {
        val isCompressed = response.headers.containsValue(HttpHeaderNames.CONTENT_ENCODING, HttpHeaderValues.GZIP, true)
        decoded(if (isCompressed) inflated(response.body) else response.body, ageMillisOrNull(response))
    } catch (e: IOException) {
        EventLog.log(Event.PEER_REFUSED, field("error", e))
        null
    } catch (e: IllegalArgumentException) {
        EventLog.log(Event.PEER_REFUSED, field("error", e))
        null
    }

/** Throws an [IllegalArgumentException] if [body] is malformed. */
@OptIn(ExperimentalSerializationApi::class)
private fun decoded(body: ByteArray, ageMillis: Long?): PeerState {
    val peerState = peerCbor.decodeFromByteArray(PeerState.serializer(), body)
    return if (ageMillis == null) peerState else PeerState(peerState.changes, ageMillis)
}

/** Throws an [IOException] if [body] is malformed, or longer than any state. */
private fun inflated(body: ByteArray): ByteArray = GZIPInputStream(body.inputStream()).use { input ->
    input.readNBytes(STATE_BYTES_MAX).also { if (input.read() >= 0) throw IOException("state too long") }
}

private fun ageMillisOrNull(response: HttpClientResponse): Long? =
    response.headers[STATE_AGE_HEADER]?.toLongOrNull()?.takeIf { it >= 0 }

private val GZIP_ACCEPTED = DefaultHttpHeaders().set(HttpHeaderNames.ACCEPT_ENCODING, HttpHeaderValues.GZIP)

/** Age of a state when its response began; what a body says may be the age at which the same was given before. */
internal const val STATE_AGE_HEADER: String = "State-Age-Millis"
internal const val STATE_PATH: String = "/state"
internal const val AFTER_QUERY: String = "?after="
internal const val HELD_QUERY: String = "?held"

/** A source begins a transfer within 400 ms, which takes at most 900 ms. */
private const val FETCH_TIMEOUT_MILLIS: Long = 1_500

/** Several times what the platform publishes; the state of an instance has to fit its memory. */
private const val STATE_BYTES_MAX: Int = 16 * 1024 * 1024
