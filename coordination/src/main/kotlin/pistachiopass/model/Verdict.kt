/**
 * The verdict on a failed request: whether the endpoint may have run it.
 *
 * Every layer that can fail returns a [Failure]. The verdict of the innermost layer reaches the caller unchanged, in
 * the header [VERDICT_HEADER] and in the body of the error response.
 */
package pistachiopass.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether an endpoint has run a request. */
@Serializable
public enum class Verdict(public val text: String) {
    /** The endpoint ran the request. */
    @SerialName("ran")
    RAN("ran"),

    /** No part of the request can have reached an endpoint that would act on it. */
    @SerialName("not run")
    NOT_RUN("not run"),

    /** The request was sent, and it is unknown whether the endpoint ran it. */
    @SerialName("may have run")
    MAY_HAVE_RUN("may have run"),
}

/** Cause of a failure, in a form that programs can match on. */
@Serializable
public enum class FailureCode(public val text: String) {
    @SerialName("bad_request")
    BAD_REQUEST("bad_request"),

    @SerialName("not_authorized")
    NOT_AUTHORIZED("not_authorized"),

    @SerialName("no_route")
    NO_ROUTE("no_route"),

    /** The idempotency key has expired, and its outcome is no longer kept. */
    @SerialName("conflict")
    CONFLICT("conflict"),

    @SerialName("prompt_too_large")
    PROMPT_TOO_LARGE("prompt_too_large"),

    /** The idempotency key was used with another method, URI or body. */
    @SerialName("key_reused")
    KEY_REUSED("key_reused"),

    /** The route requires an idempotency key; [Failure.idempotencyKey] is the one to use. */
    @SerialName("key_required")
    KEY_REQUIRED("key_required"),

    @SerialName("endpoint_failed")
    ENDPOINT_FAILED("endpoint_failed"),

    @SerialName("no_endpoint")
    NO_ENDPOINT("no_endpoint"),

    @SerialName("overloaded")
    OVERLOADED("overloaded"),

    /** A part of the prompt is quarantined, since endpoints ended on requests that contain it. */
    @SerialName("quarantined")
    QUARANTINED("quarantined"),

    @SerialName("stopping")
    STOPPING("stopping"),

    @SerialName("timeout")
    TIMEOUT("timeout"),

    /** The caller disconnected or stopped reading for too long; used in logs and metrics only. */
    @SerialName("caller_gone")
    CALLER_GONE("caller_gone"),
}

/**
 * Why a request failed.
 *
 * [retryAfterMillis] is set where a later retry may succeed. [message] names the field or the sizes concerned and never
 * contains prompt text or a key.
 */
@Serializable
public data class Failure(
    val code: FailureCode,
    val verdict: Verdict,
    val message: String,
    val retryAfterMillis: Long? = null,
    /** A new idempotency key, set where the caller needs one to send the request again. */
    val idempotencyKey: String? = null,
    /** The endpoint that could not be reached, refused the request or broke off its response. */
    val endpoint: EndpointId? = null,
    /** The part of the prompt that is quarantined. */
    val part: PromptPartId? = null,
)

/** Response header that carries [Verdict.text]. */
public const val VERDICT_HEADER: String = "X-Pistachiopass-Verdict"

/** Header that carries the request id, to callers and to endpoints. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Request header in which a caller states its workspace. */
public const val WORKSPACE_HEADER: String = "X-Workspace"

/** Header that carries the time left until the deadline of a request, in milliseconds, to endpoints and peers. */
public const val REMAINING_MILLIS_HEADER: String = "X-Remaining-Millis"

/** Header that carries the priority of a request to engines; 0 is the most urgent. */
public const val PRIORITY_HEADER: String = "X-Priority"
