/** Metadata of requests and responses, independent of the header names of a platform. */
package pistachiopass.gateway.model

import pistachiopass.model.EndpointId
import pistachiopass.model.PromptPartId
import pistachiopass.model.RequestId
import pistachiopass.model.WorkspaceId
import pistachiopass.quarantine.contentPartOf

/**
 * Lengths that a caller states for a prompt and its answer.
 *
 * [answerTokensMax] is 0 if not stated; otherwise [answerTokens], an estimate, does not exceed it.
 */
public data class TokenCounts(val promptTokens: Long, val answerTokensMax: Long, val answerTokens: Long)

/** What a request asks of an endpoint, the same whatever its id, caller and deadline; [digest] is taken when needed. */
public class RequestContent(digest: () -> String) {
    /** Stands for the content among the parts of the prompt. */
    public val part: PromptPartId by lazy(LazyThreadSafetyMode.NONE) { contentPartOf(digest()) }
}

/** What the headers of a caller's request state. */
public data class RequestMetadata(
    val id: RequestId,
    /** Time for which the caller waits, from the arrival of the headers; null if not stated. */
    val remainingMillis: Long?,
    val apiKey: String?,
    val tokenCounts: TokenCounts?,
    /** Id of the last event that the caller received of an interrupted stream; null for a new stream. */
    val lastEventId: String?,
    /** Parts of the prompt that other requests may share, in the order of the prompt; the last part is left out. */
    val sharedParts: List<PromptPartId> = emptyList(),
    /** Values of the headers that describe the prompt, as the endpoint gets them. */
    val promptHeaders: List<String> = emptyList(),
    val content: RequestContent = RequestContent { id.value },
)

/** What the instance adds to the headers of a request that it forwards. */
public data class ForwardMetadata(
    val endpoint: EndpointId,
    val remainingMillis: Long,
    val workspace: WorkspaceId?,
    /** Urgency from 0, the most urgent, to 9; null for the endpoint's default. */
    val urgency: Int?,
    /** Endpoints that prefill parts of the prompt. */
    val helpers: List<PrefillHelper>,
    /** Replaces the caller's last event id when a stream is resumed at another endpoint. */
    val lastEventId: String?,
)

/**
 * An endpoint that prefills a part of a prompt.
 *
 * The part is written to the memory of [reservation], or to that of the endpoint that gets the request if it is null.
 */
public data class PrefillHelper(val endpoint: EndpointId, val address: Address, val reservation: String?)

/** What the status and headers of an endpoint's response state. */
public data class ResponseMetadata(
    /** Id of the request that the response belongs to; null if not stated. */
    val requestId: RequestId?,
    /** Whether the endpoint states that it did not execute the request and never will. */
    val isNotExecuted: Boolean,
    /** Whether the response has the stamp of an endpoint; a success without it is not trusted. */
    val isStamped: Boolean,
    /** Whether the body was re-encoded on the way, so that it is not the endpoint's. */
    val isReencoded: Boolean,
    /** Address of the endpoint that refused the request, if it is not the one to which the request was sent. */
    val refusedBy: Address?,
    val load: EndpointLoad?,
)

/** Load that an endpoint states in its responses: requests that run and that wait, and its slots. */
public data class EndpointLoad(val running: Int, val waiting: Int, val slots: Int)
