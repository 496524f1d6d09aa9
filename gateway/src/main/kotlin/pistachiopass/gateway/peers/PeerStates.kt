/** The published state over HTTP between instances, for changes that do not fit a datagram. */
package pistachiopass.gateway.peers

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import pistachiopass.entry.logging.Event
import pistachiopass.entry.logging.EventLog
import pistachiopass.entry.logging.field
import pistachiopass.entry.logging.log
import pistachiopass.gateway.http.CallerExchange
import pistachiopass.gateway.http.CallerHandler
import pistachiopass.gateway.http.HttpClient
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.state.PublishedState
import pistachiopass.published.PublishedChanges
import pistachiopass.published.Revision
import pistachiopass.published.revisionOrNull

/**
 * Responds with what [state] has beyond the position in the query, or with what it believes against the store; 503
 * while no state is known.
 */
internal class PeerStateHandler(private val state: PublishedState) : CallerHandler {
    @OptIn(ExperimentalSerializationApi::class)
    override suspend fun serve(exchange: CallerExchange) {
        val uri = exchange.request.uri()
        val ageMillis = state.knownState.freshness.ageMillisOrNull()
        when {
            uri.substringBefore('?') != STATE_PATH -> exchange.respond(HttpResponseStatus.NOT_FOUND)
            state.position == null || ageMillis == null -> exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE)
            else -> {
                val document = PeerState(changesFor(uri), ageMillis)
                exchange.respond(HttpResponseStatus.OK, peerCbor.encodeToByteArray(PeerState.serializer(), document))
            }
        }
    }

    private fun changesFor(uri: String): PublishedChanges {
        val position = checkNotNull(state.position) { "no state is known" }
        val isHeldOnly = uri.endsWith(HELD_QUERY)
        if (isHeldOnly) return PublishedChanges(position, isFull = false, state.log.held)
        return state.log.changesAfter(revisionOrNull(uri.substringAfter(AFTER_QUERY, "")))
    }

    private fun CallerExchange.respond(status: HttpResponseStatus, body: ByteArray = ByteArray(0)) {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor")
        respond(status.code(), headers, Unpooled.wrappedBuffer(body))
    }
}

/** Fetches the published state of other instances. */
internal class PeerStateClient(private val client: HttpClient) {
    /** Returns what the instance at [address] has beyond [after], or null if it does not respond properly in time. */
    suspend fun fetchOrNull(address: Address, after: Revision?): PeerState? =
        getOrNull(address, STATE_PATH + after?.let { AFTER_QUERY + it }.orEmpty())

    /** Returns what the instance at [address] believes against the store, or null as [fetchOrNull] does. */
    suspend fun fetchHeldOrNull(address: Address): PeerState? = getOrNull(address, STATE_PATH + HELD_QUERY)

    private suspend fun getOrNull(address: Address, uri: String): PeerState? {
        val response = client.getOrNull(address, uri, FETCH_TIMEOUT_MILLIS)
        return response?.takeIf { it.status == HttpResponseStatus.OK.code() }?.let { stateOrNull(it.body) }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun stateOrNull(body: ByteArray): PeerState? =
        try {
            peerCbor.decodeFromByteArray(PeerState.serializer(), body)
        } catch (e: SerializationException) {
            EventLog.log(Event.PEER_REFUSED, field("error", e))
            null
        } catch (e: IllegalArgumentException) {
            EventLog.log(Event.PEER_REFUSED, field("error", e))
            null
        }
}

private const val STATE_PATH = "/state"
private const val AFTER_QUERY = "?after="
private const val HELD_QUERY = "?held"

/** A full state of a megabyte takes half a second on the slowest links of the deployments. */
private const val FETCH_TIMEOUT_MILLIS: Long = 1_500
