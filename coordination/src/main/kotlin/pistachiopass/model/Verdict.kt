/**
 * The verdict on a failed request: whether the endpoint may have run it.
 *
 * Every layer that can fail returns a [Failure]; the verdict of the deepest layer reaches the caller unchanged, in the
 * header [VERDICT_HEADER] and in the body of the error.
 */
package pistachiopass.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Says whether a request may have run. */
@Serializable
public enum class Verdict(public val text: String) {
    /** The endpoint ran the request. */
    @SerialName("ran")
    RAN("ran"),

    /** No byte of the request can have reached an endpoint that acts on it. */
    @SerialName("not run")
    NOT_RUN("not run"),

    /** The request was sent, and nothing proves what became of it. */
    @SerialName("may have run")
    MAY_HAVE_RUN("may have run"),
}

/** Names the cause of a failure in a form that programs can match on. */
@Serializable
public enum class FailureCode(public val text: String) {
    @SerialName("bad_request")
    BAD_REQUEST("bad_request"),

    @SerialName("not_authorized")
    NOT_AUTHORIZED("not_authorized"),

    @SerialName("no_route")
    NO_ROUTE("no_route"),

    @SerialName("conflict")
    CONFLICT("conflict"),

    @SerialName("prompt_too_large")
    PROMPT_TOO_LARGE("prompt_too_large"),

    @SerialName("key_reused")
    KEY_REUSED("key_reused"),

    @SerialName("key_required")
    KEY_REQUIRED("key_required"),

    @SerialName("endpoint_failed")
    ENDPOINT_FAILED("endpoint_failed"),

    @SerialName("no_endpoint")
    NO_ENDPOINT("no_endpoint"),

    @SerialName("overloaded")
    OVERLOADED("overloaded"),

    @SerialName("stopping")
    STOPPING("stopping"),

    @SerialName("timeout")
    TIMEOUT("timeout"),

    /** The caller hung up or read nothing for too long; it appears in logs and metrics only. */
    @SerialName("caller_gone")
    CALLER_GONE("caller_gone"),
}

/**
 * Describes why a request was not answered.
 *
 * [retryAfterMillis] is present where waiting helps. [message] names the field or the sizes concerned and never holds
 * prompt text or a key.
 */
@Serializable
public data class Failure(
    val code: FailureCode,
    val verdict: Verdict,
    val message: String,
    val retryAfterMillis: Long? = null,
    /** A fresh key for the caller, given where a key was required. */
    val idempotencyKey: String? = null,
    /** The endpoint that could not be reached, refused the request or broke off. */
    val endpoint: EndpointId? = null,
)

/** Names the response header that carries [Verdict.text]. */
public const val VERDICT_HEADER: String = "X-Pistachiopass-Verdict"

/** Names the header that carries the request id, towards callers and endpoints. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Names the header by which a caller states its workspace. */
public const val WORKSPACE_HEADER: String = "X-Workspace"

/** Names the header that carries the remaining time of a request, in milliseconds, towards endpoints and peers. */
public const val REMAINING_MILLIS_HEADER: String = "X-Remaining-Millis"

/** Names the header that carries the priority of a request towards engines; 0 is the most urgent. */
public const val PRIORITY_HEADER: String = "X-Priority"
