/** Messages between instances: one CBOR document a datagram. */
package pistachiopass.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import pistachiopass.gateway.model.Incarnation
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.model.EndpointId

/** One message. */
@Serializable
internal sealed interface PeerMessage

/** Tells of known instances; ages by host. */
@Serializable
@SerialName("g")
internal data class MembershipGossip(val heardAgeMillis: Map<String, Long>) : PeerMessage

/** Tells of work that was placed. */
@Serializable
@SerialName("w")
internal data class PlacedWorkUpdate(val works: List<EncodedEstimate>) : PeerMessage

/** Asks for a proof that the operator's documents are current; [nonce] ties the answer to the time of the question. */
@Serializable
@SerialName("q")
internal data class FreshnessQuery(val nonce: Long) : PeerMessage

/** Says that the operator's last change, as of [ageMillis] before this answer, had [operatorRevision]. */
@Serializable
@SerialName("p")
internal data class FreshnessReply(val nonce: Long, val operatorRevision: Long, val ageMillis: Long) : PeerMessage

/** [WorkEstimate] in short names, as many are sent. */
@Serializable
internal data class EncodedEstimate(
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("b") val bornMillis: Long,
    @SerialName("r") val readMillis: Float,
    @SerialName("w") val writeMillis: Float,
    @SerialName("c") val contextTokens: Long,
    @SerialName("p") val pauseMillis: Long,
) {
    fun toEstimate(): WorkEstimate = WorkEstimate(
        Incarnation(endpoint, bornMillis),
        readMillis.toDouble(),
        writeMillis.toDouble(),
        contextTokens,
        pauseMillis,
    )
}

internal fun encodedEstimateOf(estimate: WorkEstimate): EncodedEstimate = EncodedEstimate(
    estimate.endpoint.endpoint,
    estimate.endpoint.bornMillis,
    estimate.prefillMillis.toFloat(),
    estimate.decodeMillis.toFloat(),
    estimate.contextTokens,
    estimate.gapTargetMillis,
)

/** Returns the messages that tell of all of [works], each of which fits a frame. */
internal fun updatesOf(works: List<EncodedEstimate>): List<PlacedWorkUpdate> =
    works.chunked(UPDATE_ESTIMATES_MAX).map(::PlacedWorkUpdate)

@OptIn(ExperimentalSerializationApi::class)
internal fun encode(message: PeerMessage): ByteArray = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

/** Returns the message in [bytes], or null if they hold none. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeOrNull(bytes: ByteArray): PeerMessage? =
    try {
        Cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Works in one datagram: a work takes at most 70 bytes, and a frame carries 1,472. */
private const val UPDATE_ESTIMATES_MAX: Int = 20
