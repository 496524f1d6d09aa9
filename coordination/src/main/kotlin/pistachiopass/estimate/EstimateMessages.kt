/** What instances tell each other of the times in which endpoints answered them. */
package pistachiopass.estimate

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import pistachiopass.model.EndpointId
import pistachiopass.model.EndpointIncarnation

/** Samples at one level of concurrency, an eighth of the slots; [level] is from 0 to 7. Times are sums. */
@Serializable
public data class LevelDelta(
    @SerialName("l") val level: Int,
    @SerialName("n") val count: Float,
    @SerialName("x") val expectedMillis: Float,
    @SerialName("o") val observedMillis: Float,
)

/** Samples of one endpoint incarnation that the sender has taken since its last message about it. */
@Serializable
public data class EstimateDelta(
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("b") val bornMillis: Long,
    @SerialName("s") val levels: List<LevelDelta>,
) {
    /** The endpoint and its run. */
    public val incarnation: EndpointIncarnation get() = EndpointIncarnation(endpoint, bornMillis)
}

/** Samples of the sender, a process that started at [startedMillis]; [sequence] rises with each of its messages. */
@Serializable
public data class EstimateMessage(
    @SerialName("i") val startedMillis: Long,
    @SerialName("n") val sequence: Long,
    @SerialName("d") val deltas: List<EstimateDelta>,
)

/** Returns about how many bytes this delta takes in a message, at most. */
internal val EstimateDelta.encodedBytes: Int
    get() = DELTA_BYTES + endpoint.value.encodeToByteArray().size + levels.size * LEVEL_BYTES

/** Is true if all values of this message are in range. */
internal val EstimateMessage.isInRange: Boolean
    get() = sequence >= 0 && deltas.size <= DELTAS_MAX && deltas.all { delta ->
        delta.levels.size <= LEVELS && delta.levels.all { it.isInRange }
    }

private val LevelDelta.isInRange: Boolean
    get() = level in 0 until LEVELS && count > 0 && count <= COUNT_MAX &&
        expectedMillis > 0 && expectedMillis <= count * MILLIS_MAX &&
        observedMillis > 0 && observedMillis <= count * MILLIS_MAX

/** Map, three keys, a timestamp and the heads of string and list. */
private const val DELTA_BYTES: Int = 24

/** Map, four keys, a small number and three floats. */
private const val LEVEL_BYTES: Int = 27

/** Samples of one second at one endpoint; more are not plausible. */
private const val COUNT_MAX: Float = 10_000f

/** Deltas of one message; as many as fit a datagram with room to spare. */
private const val DELTAS_MAX: Int = 100
