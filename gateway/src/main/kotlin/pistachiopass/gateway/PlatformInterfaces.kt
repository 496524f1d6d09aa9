/**
 * Interfaces that a platform implements.
 *
 * An implementation translates names and formats and makes no decisions. Its [StateSource] and [EndpointOrders] use the
 * HTTP client of this module, so that all outgoing calls go through one client.
 */
package pistachiopass.gateway

import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.ForwardMetadata
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.model.ResponseMetadata
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.UnreadPart
import pistachiopass.published.PublishedChanges
import pistachiopass.published.PublishedItem
import pistachiopass.published.Revision

/** Translates between HTTP headers and the metadata classes of the gateway. */
public interface WireFormat {
    /** Path of the readiness probe. */
    public val readyPath: String

    /** Returns the metadata of a caller's request, or a message that names the malformed header. */
    public fun readRequest(headers: HttpHeaders): Result<RequestMetadata, String>

    /** Adds [metadata] to [headers], a copy of the caller's, and removes those that endpoints must not receive. */
    public fun writeForwardedRequest(headers: HttpHeaders, metadata: ForwardMetadata)

    /** Returns what the [status] and [headers] of an endpoint's response state. */
    public fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Sets in [headers] what a caller would, for a warm-up request that the instance sends to itself. */
    public fun writeWarmUpRequest(headers: HttpHeaders, id: RequestId, tokenCounts: TokenCounts)

    /** Sets in [headers] what an endpoint would in its response to the warm-up request [id]. */
    public fun writeWarmUpResponse(headers: HttpHeaders, id: RequestId)

    /** Removes from the response [headers] of an endpoint the hop-by-hop ones and others for the instance only. */
    public fun removeHopByHopHeaders(headers: HttpHeaders)
}

/** One item of the published state, decoded. */
public sealed interface StateItem {
    public val revision: Revision

    /** A routing table; [table] is null if nothing of it can be read, and [problem] then says why. */
    public data class Table(override val revision: Revision, val table: RoutingTable?, val problem: String?) : StateItem

    /** An endpoint; [endpoint] is null if its entry was removed or is invalid, and [problem] says what is invalid. */
    public data class Endpoint(
        override val revision: Revision,
        val id: EndpointId,
        val endpoint: PublishedEndpoint?,
        val problem: String?,
    ) : StateItem

    /** Whether a data centre is taken out of service and gets no new requests. */
    public data class Evacuation(override val revision: Revision, val dataCentre: DataCentreId, val isOut: Boolean) :
        StateItem
}

/** Decodes published items. */
public fun interface StateDecoder {
    /** Returns what [item] says, or null if instances do not use items with its key. */
    public fun decodeOrNull(item: PublishedItem): StateItem?
}

/** Why a read of the published state returned no state. */
public enum class StateProblem {
    /** The store did not respond or responded with an error status. */
    UNAVAILABLE,

    /** The body of the store's response cannot be decoded. */
    UNREADABLE,

    /** The store no longer has the changes after the revision; all items must be read again. */
    HISTORY_GONE,

    /** A change does not say which item it is of; all items must be read again. */
    UNKNOWN_CHANGE,

    /** The store has returned from an older copy of itself, so that all items must be read again. */
    ERA_CHANGED,

    /** The response is older than what was known when it was asked for, and says nothing. */
    OUTDATED,
}

/** Reads the published state. */
public interface StateSource {
    /** What could not be read when all items were read last and belongs to no known item. */
    public val unread: List<UnreadPart> get() = emptyList()

    /** Returns all published items. Those of a store that does not state its era are of the era of [known], or of 0. */
    public suspend fun readAll(known: Revision?): Result<PublishedChanges, StateProblem>

    /**
     * Returns the changes after [after], once there is one or [waitMillis] have passed; fails with
     * [StateProblem.ERA_CHANGED] if the store is in a later era.
     */
    public suspend fun changesAfter(after: Revision, waitMillis: Long): Result<PublishedChanges, StateProblem>

    /**
     * Returns the changes after [after], without waiting for one and without the routing table, as far as the source
     * can tell them: where a large table changed they arrive long before all changes do. Returns null if it does not
     * answer.
     */
    public suspend fun smallChangesAfter(after: Revision): List<PublishedItem>? = null

    /** Closes the idle connections, so that the next call opens a new one. */
    public fun reconnect()
}

/** Outcome of an order to an endpoint. */
public enum class OrderOutcome {
    DONE,

    /** The endpoint accepted the order and waits for memory to become free. */
    WAITING,
    REFUSED,

    /** No response was received; the order may have been carried out or may still be. */
    UNKNOWN,
}

/** Sends orders to endpoints, that is, commands to reserve and release memory for requests. */
public interface EndpointOrders {
    /** Reserves memory for [tokens] under the id [reservation] for [holdMillis] from the arrival of the order. */
    public suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome

    /** Releases the memory of [reservation]. */
    public suspend fun release(address: Address, reservation: String): OrderOutcome
}
