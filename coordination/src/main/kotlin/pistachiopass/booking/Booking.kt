/** A booking: a request with an idempotency key, which its service gets at most once, and its outcome. */
package pistachiopass.booking

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.Failure
import pistachiopass.model.RequestId
import pistachiopass.model.Verdict
import pistachiopass.model.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/** One HTTP header of a request or a response. */
@Serializable
public data class BookingHeader(val name: String, val value: String)

/** The request of a booking, as the caller sent it. */
@Serializable
public class BookingRequest(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val method: String,
    /** Path and query. */
    public val uri: String,
    public val headers: List<BookingHeader>,
    public val body: ByteArray,
) {
    /** Path without the query. */
    public val path: String get() = uri.substringBefore('?')
}

/** A digest of the method, URI and body of a request. */
@Serializable
@JvmInline
public value class PayloadDigest(public val value: String)

/** Returns the digest by which requests with the same key are compared. */
public fun BookingRequest.digest(): PayloadDigest {
    val sha = MessageDigest.getInstance("SHA-256")
    listOf(method.encodeToByteArray(), uri.encodeToByteArray(), body).forEach { part ->
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        sha.update(part)
    }
    return PayloadDigest(Base64.getEncoder().withoutPadding().encodeToString(sha.digest()))
}

/** The outcome of a booking. */
@Serializable
public sealed interface BookingOutcome {
    /** The booking ran; this is the whole HTTP response of the service. */
    @Serializable
    @SerialName("answer")
    public class Response(
        public val status: Int,
        public val headers: List<BookingHeader>,
        public val body: ByteArray,
    ) : BookingOutcome

    /** There is no response to return; the verdict of [failure] says whether the booking ran. */
    @Serializable
    @SerialName("failed")
    public data class Failed(val failure: Failure) : BookingOutcome
}

/** Whether the booking ran, as far as it is known. */
public val BookingOutcome.verdict: Verdict
    get() = when (this) {
        is BookingOutcome.Response -> Verdict.RAN
        is BookingOutcome.Failed -> failure.verdict
    }

/** Sends a booking to its service. */
public fun interface BookingSender {
    /**
     * Sends [request] to its service and returns the outcome.
     *
     * Is called at most once for each key. A failure may have the verdict `not run` only if no byte of the request can
     * have reached the service.
     */
    public suspend fun send(key: String, request: BookingRequest): BookingOutcome
}
