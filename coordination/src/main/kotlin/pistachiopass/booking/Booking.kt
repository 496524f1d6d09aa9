/** What a caller asks for with a key, and what became of it. */
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

/** Holds one header of a request or an answer. */
@Serializable
public data class BookingHeader(val name: String, val value: String)

/** Holds the request that a key stands for, as the caller sent it. */
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

/** Identifies the payload of a request: method, address and body. */
@Serializable
@JvmInline
public value class PayloadDigest(public val value: String)

/** Returns the digest by which repeats are compared with the first request. */
public fun BookingRequest.digest(): PayloadDigest {
    val sha = MessageDigest.getInstance("SHA-256")
    listOf(method.encodeToByteArray(), uri.encodeToByteArray(), body).forEach { part ->
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        sha.update(part)
    }
    return PayloadDigest(Base64.getEncoder().withoutPadding().encodeToString(sha.digest()))
}

/** Tells what became of a booking. */
@Serializable
public sealed interface BookingOutcome {
    /** The service's whole answer; the booking ran. */
    @Serializable
    @SerialName("answer")
    public class Answer(
        public val status: Int,
        public val headers: List<BookingHeader>,
        public val body: ByteArray,
    ) : BookingOutcome

    /** There is no answer; the verdict of [failure] tells whether the booking may have run. */
    @Serializable
    @SerialName("failed")
    public data class Failed(val failure: Failure) : BookingOutcome
}

/** Returns whether the booking ran. */
public val BookingOutcome.verdict: Verdict
    get() = when (this) {
        is BookingOutcome.Answer -> Verdict.RAN
        is BookingOutcome.Failed -> failure.verdict
    }

/** Sends a booking to its service. */
public fun interface BookingSender {
    /**
     * Sends [request] and returns the outcome.
     *
     * Is called once for a key. A failure may be `not run` only when no byte can have reached the service.
     */
    public suspend fun send(key: String, request: BookingRequest): BookingOutcome
}
