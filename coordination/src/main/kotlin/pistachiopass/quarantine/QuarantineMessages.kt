/** What instances tell each other about prompt parts. Times are ages, since their clocks differ. */
package pistachiopass.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.EndpointId
import pistachiopass.model.PromptPartId
import pistachiopass.model.RequestId
import java.util.Objects

/** One run of an endpoint's process, as a hash that takes few bytes in messages. */
@Serializable
@JvmInline
public value class EndpointRun(public val hash: Int)

/** Returns the run of [endpoint] that started at the Unix time [bornMillis]. */
public fun endpointRunOf(endpoint: EndpointId, bornMillis: Long): EndpointRun =
    EndpointRun(Objects.hash(endpoint.value, bornMillis))

/** One request, as a hash that takes few bytes in messages. */
@Serializable
@JvmInline
public value class RequestHash(public val hash: Int)

/** Returns the hash of [request]. */
public fun requestHashOf(request: RequestId): RequestHash = RequestHash(request.value.hashCode())

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
    /** Parts that followed in the prompt of the request. */
    @SerialName("l") val laterParts: List<PartHash> = emptyList(),
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
        ends.sumOf { RUN_END_BYTES + it.laterParts.size * HASH_BYTES } + otherRuns.size * HASH_BYTES

private const val STATEMENT_BYTES: Int = 34
private const val RUN_END_BYTES: Int = 36
private const val HASH_BYTES: Int = 5
