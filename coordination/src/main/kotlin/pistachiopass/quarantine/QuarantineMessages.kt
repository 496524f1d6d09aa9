/**
 * What instances tell each other about parts of prompts, and about contents of requests, which count as parts.
 *
 * Times are ages, since their clocks differ.
 */
package pistachiopass.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.EndpointId
import pistachiopass.model.PromptPartId
import java.util.Objects

/** One run of an endpoint's process, as a hash that takes few bytes in messages. */
@Serializable
@JvmInline
public value class EndpointRun(public val hash: Int)

/** Returns the run of [endpoint] that started at the Unix time [bornMillis]. */
public fun endpointRunOf(endpoint: EndpointId, bornMillis: Long): EndpointRun =
    EndpointRun(Objects.hash(endpoint.value, bornMillis))

/** The content of a request, the same under any id, as a hash that takes few bytes in messages. */
@Serializable
@JvmInline
public value class RequestHash(public val hash: Int)

/** Returns the hash of [content]. */
internal fun requestHashOf(content: PromptPartId): RequestHash = RequestHash(content.value.hashCode())

/**
 * Returns the part that stands for the content of a request with [digest] as a whole; only requests with the same
 * content have it.
 */
public fun contentPartOf(digest: String): PromptPartId = PromptPartId("$CONTENT_PREFIX$digest")

/** Whether this part stands for the content of a request as a whole. */
public val PromptPartId.isContent: Boolean get() = value.startsWith(CONTENT_PREFIX)

/** One prompt part, as a hash that takes few bytes in messages. */
@Serializable
@JvmInline
public value class PartHash(public val hash: Int)

/** Returns the hash of [part]. */
internal fun partHashOf(part: PromptPartId): PartHash = PartHash(part.value.hashCode())

/** The run [run] ended [endedAgeMillis] ago, while it had [request], which was sent [sentAgeMillis] ago. */
@Serializable
public data class RunEnd(
    @SerialName("r") val run: EndpointRun,
    @SerialName("q") val request: RequestHash,
    @SerialName("s") val sentAgeMillis: Long,
    @SerialName("e") val endedAgeMillis: Long,
    /** Parts of the prompt of the request, in their order; of a long prompt those around the suspect. */
    @SerialName("c") val parts: List<PartHash> = emptyList(),
)

/**
 * What the sender knows of [part].
 *
 * The [epoch] rises each time the part is cleared, which voids the evidence of earlier epochs. In one epoch evidence
 * only grows and [strikes], the number of quarantines, only rises. [ageMillis] is the time since the last quarantine
 * began, or, without one, since the epoch began.
 */
@Serializable
public data class PartStatement(
    @SerialName("p") val part: PromptPartId,
    @SerialName("n") val epoch: Int,
    @SerialName("k") val strikes: Int,
    @SerialName("a") val ageMillis: Long,
    @SerialName("e") val ends: List<RunEnd>,
    /** Other runs that ended on requests with the part, if it is quarantined. */
    @SerialName("o") val otherRuns: List<EndpointRun> = emptyList(),
)

/** Statements about parts; the receiver answers with all that are quarantined if [isQuestion]. */
@Serializable
public class QuarantineMessage(
    @SerialName("s") public val statements: List<PartStatement>,
    @SerialName("q") public val isQuestion: Boolean = false,
)

/** Returns about how many bytes this statement takes in a message. */
internal val PartStatement.encodedBytes: Int
    get() = STATEMENT_BYTES + part.value.length +
        ends.sumOf { RUN_END_BYTES + it.parts.size * HASH_BYTES } + otherRuns.size * HASH_BYTES

/** Ids of parts are hexadecimal, so none begins like this. */
private const val CONTENT_PREFIX: String = "content-"
private const val STATEMENT_BYTES: Int = 34
private const val RUN_END_BYTES: Int = 36
private const val HASH_BYTES: Int = 5
