/** Messages between instances: one CBOR document per UDP datagram. */
package pistachiopass.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import pistachiopass.estimate.EstimateMessage
import pistachiopass.gateway.model.EndpointIncarnation
import pistachiopass.gateway.placement.PlacedWorkId
import pistachiopass.gateway.placement.WorkEstimate
import pistachiopass.membership.MembershipMessage
import pistachiopass.model.EndpointId
import pistachiopass.published.FeedSubscription
import pistachiopass.published.FeedUpdate
import pistachiopass.quarantine.QuarantineMessage
import pistachiopass.shortage.WorkspaceHash

/** A message between instances. */
@Serializable
internal sealed interface PeerMessage

/** A message about the members of the fleet. */
@Serializable
@SerialName("m")
internal class MembershipDocument(@SerialName("m") val message: MembershipMessage) : PeerMessage

/** Subscribes to the published state of the receiver. */
@Serializable
@SerialName("s")
internal class SubscribeRequest(@SerialName("s") val subscription: FeedSubscription) : PeerMessage

/** Answers a subscription to the published state of the sender. */
@Serializable
@SerialName("u")
internal class SubscriptionUpdate(@SerialName("u") val update: FeedUpdate) : PeerMessage

/** Work that the sender has placed on endpoints, and the ids of work that has ended. */
@Serializable
@SerialName("w")
internal class PlacedWorkUpdate(
    @SerialName("w") val works: List<EncodedEstimate> = emptyList(),
    @SerialName("d") val endedIds: List<Long> = emptyList(),
) : PeerMessage

/**
 * Recent work of the sender by workspace. It is a message of its own, since instances of some earlier versions reject
 * a [PlacedWorkUpdate] with an unknown field as a whole; this one they ignore.
 */
@Serializable
@SerialName("p")
internal class PlacedUsageUpdate(@SerialName("p") val usages: List<EncodedUsage>) : PeerMessage

/** Time of the work that was placed for the workspace with the hash [workspace]. */
@Serializable
internal data class EncodedUsage(@SerialName("h") val workspace: Int, @SerialName("m") val workMillis: Float)

/** What the sender knows of prompt parts that end endpoints. */
@Serializable
@SerialName("q")
internal class QuarantineDocument(@SerialName("q") val message: QuarantineMessage) : PeerMessage

/** Samples of endpoint speeds that the sender has taken. */
@Serializable
@SerialName("e")
internal class EstimateDocument(@SerialName("m") val message: EstimateMessage) : PeerMessage

/**
 * A [WorkEstimate] with one-letter keys, which keep the datagrams small. [readMillis] is the prefill time,
 * [writeMillis] the decode time, [pauseMillis] the gap target and [heldMillis] the time for which memory is held.
 */
@Serializable
internal data class EncodedEstimate(
    @SerialName("i") val id: Long,
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("b") val bornMillis: Long,
    @SerialName("r") val readMillis: Float,
    @SerialName("w") val writeMillis: Float,
    @SerialName("c") val contextTokens: Long,
    @SerialName("p") val pauseMillis: Long,
    @SerialName("h") val heldMillis: Float = 0f,
    @SerialName("l") val isLong: Boolean = false,
) {
    fun toEstimate(): WorkEstimate = WorkEstimate(
        EndpointIncarnation(endpoint, bornMillis),
        readMillis.toDouble(),
        writeMillis.toDouble(),
        contextTokens,
        pauseMillis,
        heldMillis.toDouble(),
        isLong,
    )
}

internal fun encodedEstimateOf(id: PlacedWorkId, estimate: WorkEstimate): EncodedEstimate = EncodedEstimate(
    id.value,
    estimate.endpoint.endpoint,
    estimate.endpoint.bornMillis,
    estimate.prefillMillis.toFloat(),
    estimate.decodeMillis.toFloat(),
    estimate.contextTokens,
    estimate.gapTargetMillis,
    estimate.holdMillis.toFloat(),
    estimate.isLong,
)

/** Returns messages with all of [works] and [ended]; each message fits an Ethernet frame. */
internal fun updatesOf(works: List<EncodedEstimate>, ended: List<PlacedWorkId> = emptyList()): List<PlacedWorkUpdate> =
    works.chunked(UPDATE_ESTIMATES_MAX).map { PlacedWorkUpdate(it) } +
        ended.chunked(UPDATE_ENDS_MAX).map { ids -> PlacedWorkUpdate(endedIds = ids.map { it.value }) }

/** Returns messages with all of [usage], which is in milliseconds; each message fits an Ethernet frame. */
internal fun usageUpdatesOf(usage: Map<WorkspaceHash, Double>): List<PlacedUsageUpdate> =
    usage.map { (workspace, millis) -> EncodedUsage(workspace.value, millis.toFloat()) }
        .chunked(UPDATE_USAGES_MAX)
        .map(::PlacedUsageUpdate)

/** Ignores fields that later versions may add, so that their messages stay readable. */
@OptIn(ExperimentalSerializationApi::class)
internal val peerCbor: Cbor = Cbor { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal fun encode(message: PeerMessage): ByteArray = peerCbor.encodeToByteArray(PeerMessage.serializer(), message)

/** Decodes a message; returns null if [bytes] are malformed. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeOrNull(bytes: ByteArray): PeerMessage? =
    try {
        peerCbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Estimates per datagram: each takes at most 92 bytes, and an Ethernet frame carries 1,472 bytes of UDP payload. */
private const val UPDATE_ESTIMATES_MAX: Int = 15

/** Ids per datagram: each takes at most 9 bytes. */
private const val UPDATE_ENDS_MAX: Int = 150

/** Usages per datagram: each takes at most 16 bytes. */
private const val UPDATE_USAGES_MAX: Int = 80
