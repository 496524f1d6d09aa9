/**
 * The ports through which a platform plugs in.
 *
 * An adapter translates names and formats and decides nothing. The calls of [StateSource] and [EndpointOrders] are made
 * through the HTTP client of this module, so that one client speaks to everything outside.
 */
package pistachiopass.gateway

import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import pistachiopass.gateway.model.Address
import pistachiopass.gateway.model.ForwardMetadata
import pistachiopass.gateway.model.PublishedEndpoint
import pistachiopass.gateway.model.RequestMetadata
import pistachiopass.gateway.model.ResponseMetadata
import pistachiopass.gateway.model.Revision
import pistachiopass.gateway.model.RoutingTable
import pistachiopass.gateway.model.TokenCounts
import pistachiopass.model.DataCentreId
import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId

/** Translates between the headers on the wire and the product's metadata. */
public interface WireFormat {
    /** Path of the readiness probe. */
    public val readyPath: String

    /** Returns the metadata of a caller's request, or a text that names the malformed field. */
    public fun readRequest(headers: HttpHeaders): Result<RequestMetadata, String>

    /** Sets in [headers], a copy of the caller's, all that an endpoint is told, and removes what it must not see. */
    public fun writeForwardedRequest(headers: HttpHeaders, metadata: ForwardMetadata)

    /** Returns what the head of an endpoint's answer proves. */
    public fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Sets in [headers] what a caller states, for a request of the instance's own. */
    public fun writeWarmUpRequest(headers: HttpHeaders, id: RequestId, tokenCounts: TokenCounts)

    /** Sets in [headers] what an endpoint states in its answer to the request [id]. */
    public fun writeWarmUpResponse(headers: HttpHeaders, id: RequestId)

    /** Removes from [headers], an endpoint's, what concerns only the connection to the endpoint. */
    public fun removeHopByHopHeaders(headers: HttpHeaders)
}

/** One published item, decoded. */
public sealed interface StateItem {
    public val revision: Revision

    /** A configuration; [table] is null if it cannot be read. */
    public data class Table(override val revision: Revision, val table: RoutingTable?, val problem: String?) : StateItem

    /** An endpoint; [endpoint] is null if it left or its entry cannot be used, and [problem] then says why. */
    public data class Endpoint(
        override val revision: Revision,
        val id: EndpointId,
        val endpoint: PublishedEndpoint?,
        val problem: String?,
    ) : StateItem

    /** Whether a data centre is to get no work. */
    public data class Evacuation(override val revision: Revision, val dataCentre: DataCentreId, val isOut: Boolean) :
        StateItem
}

/** All published items as of [revision] or later; a change after [revision] may be in it already. */
public data class StateSnapshot(val revision: Revision, val items: List<StateItem>)

/** Tells how a read of published state ended without state. */
public enum class StateProblem {
    /** The store does not answer, or answers with an error; nothing is known. */
    UNAVAILABLE,

    /** The store answered with a body that cannot be read; nothing is known. */
    UNREADABLE,

    /** The history after the revision is no longer there; all must be read anew. */
    HISTORY_GONE,
}

/** Reads what the platform publishes. */
public interface StateSource {
    /** Returns all published items. */
    public suspend fun readAll(): Result<StateSnapshot, StateProblem>

    /** Returns the changes after [after], once there is one or [waitMillis] have passed. */
    public suspend fun changesAfter(after: Revision, waitMillis: Long): Result<StateSnapshot, StateProblem>

    /** Gives up the connections in use, so that the next call opens new ones. */
    public fun reconnect()
}

/** Tells how an order to an endpoint ended. */
public enum class OrderOutcome {
    DONE,

    /** The order waits for memory to become free. */
    WAITING,
    REFUSED,

    /** No answer; the order may be carried out now or later. */
    UNKNOWN,
}

/** Gives orders to endpoints. */
public interface EndpointOrders {
    /** Sets aside memory for [tokens] under [reservation] for [holdMillis] from the arrival of the order. */
    public suspend fun reserve(address: Address, reservation: String, tokens: Long, holdMillis: Long): OrderOutcome

    /** Ends [reservation]. */
    public suspend fun release(address: Address, reservation: String): OrderOutcome
}
