/** What the forwarding path needs to know of requests and answers, in the product's own terms. */
package pistachiopass.gateway.model

import pistachiopass.model.EndpointId
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId

/** Lengths that a caller states for a prompt and its answer; [answerTokens] is its estimate, at most the maximum. */
public data class TokenCounts(val promptTokens: Long, val answerTokensMax: Long, val answerTokens: Long)

/** Facts that a caller's request states in its head. */
public data class RequestMetadata(
    val id: RequestId,
    /** Time for which the caller waits, counted from the arrival of the head; null if it states none. */
    val remainingMillis: Long?,
    val apiKey: String?,
    val tokenCounts: TokenCounts?,
    /** Last event that the caller has of an interrupted stream; null for a new stream. */
    val lastEventId: String?,
)

/** Facts that the instance adds to a request that it forwards. */
public data class ForwardMetadata(
    val endpoint: EndpointId,
    val remainingMillis: Long,
    val workspace: WorkspaceId?,
    /** Urgency from 0, the most urgent, to 9; null leaves the endpoint's default. */
    val urgency: Int?,
    /** Endpoints that read parts of the prompt, with the reservation that each part uses. */
    val helpers: List<PrefillHelper>,
    /** Replaces the caller's own last event id where a stream is continued. */
    val lastEventId: String?,
)

/** An endpoint that reads a part of a prompt into [reservation], or into memory of the first endpoint if it is null. */
public data class PrefillHelper(val endpoint: EndpointId, val address: Address, val reservation: String?)

/** What the head of an endpoint's answer proves. */
public data class ResponseMetadata(
    /** The request that the answer belongs to; null if the endpoint does not say. */
    val requestId: RequestId?,
    /** The endpoint states that it did not run the request and never will. */
    val isNotExecuted: Boolean,
    /** The answer bears the mark of an endpoint, without which a success is worthless. */
    val isStamped: Boolean,
    /** The body was re-encoded on the way, so it is not the endpoint's. */
    val isReencoded: Boolean,
    /** Address of the endpoint that caused a refusal, where it is another than the one asked. */
    val refusedBy: Address?,
    val load: EndpointLoad?,
)

/** Load that an endpoint states in its answers. */
public data class EndpointLoad(val running: Int, val waiting: Int, val slots: Int)
