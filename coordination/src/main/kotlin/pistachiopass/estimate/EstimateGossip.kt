/**
 * Exchanges samples of endpoint speeds between instances.
 *
 * An instance sends what it has sampled since its last message about an endpoint to the instances that use it. Nothing
 * is passed on or repeated: a lost message only means that its samples count at the sender alone. An instance that is
 * gone has no samples any more after a few seconds, since they decay at the receiver.
 */
package pistachiopass.estimate

import pistachiopass.model.EndpointIncarnation
import kotlin.random.Random

/** A message and where to send it. */
public class EstimateDatagram<P : Any>(public val to: List<P>, public val message: EstimateMessage)

/** What an instance knows of the endpoints and of the instances that use them. */
public interface EstimateScope<P : Any> {
    /** Returns the group of [endpoint], or null if it is not published or has restarted since. */
    public fun groupOrNull(endpoint: EndpointIncarnation): EndpointGroup?

    /** Returns the other instances that use [endpoint]. */
    public fun audienceOf(endpoint: EndpointIncarnation): List<P>
}

/** Exchanges the samples of [estimates]; [startedMillis] is the time of the start of this process. One thread. */
public class EstimateGossip<P : Any>(
    private val estimates: EndpointEstimates,
    private val scope: EstimateScope<P>,
    private val startedMillis: Long,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
    private val settings: EstimateSettings = EstimateSettings(),
) {
    private class LastMessage(val startedMillis: Long, val sequence: Long)

    private val lastBySender = LinkedHashMap<P, LastMessage>()
    private var sequence = 0L
    private var budgetBytes = settings.bytesPerSecondMax.toDouble()
    private var budgetMillis = nowMillis()

    /** Returns the messages that are due; to be called several times a second. */
    public fun tick(): List<EstimateDatagram<P>> {
        val now = nowMillis()
        budgetBytes = minOf(
            settings.bytesPerSecondMax.toDouble(),
            budgetBytes + maxOf(0, now - budgetMillis) * settings.bytesPerSecondMax / MILLIS_PER_SECOND,
        )
        budgetMillis = now
        return estimates.all
            .filter { it.hasUnsent && now - it.sentMillis >= settings.messageMillis }
            .sortedBy { it.sentMillis }
            .groupBy { scope.audienceOf(it.endpoint) }
            .flatMap { (audience, due) -> messagesTo(audience, due, now) }
    }

    /** Takes in [message] of [sender]; returns false if it changed nothing. */
    public fun receive(sender: P, message: EstimateMessage): Boolean {
        val last = lastBySender[sender]
        val isNew = last == null || message.startedMillis > last.startedMillis ||
            (message.startedMillis == last.startedMillis && message.sequence > last.sequence)
        if (!isNew || !message.isInRange) return false
        lastBySender.remove(sender)
        lastBySender[sender] = LastMessage(message.startedMillis, message.sequence)
        if (lastBySender.size > settings.sendersMax) lastBySender.remove(lastBySender.keys.first())
        var hasChanged = false
        for (delta in message.deltas) {
            val group = scope.groupOrNull(delta.incarnation) ?: continue
            estimates.receive(delta.incarnation, group, delta.levels)
            hasChanged = hasChanged || delta.levels.isNotEmpty()
        }
        return hasChanged
    }

    private fun messagesTo(audience: List<P>, due: List<EndpointEstimate>, now: Long): List<EstimateDatagram<P>> {
        if (audience.isEmpty()) {
            due.forEach { it.takeDelta(now) }
            return emptyList()
        }
        val recipients = if (audience.size > settings.recipientsMax) {
            audience.shuffled(random).take(settings.recipientsMax)
        } else {
            audience
        }
        val batches = ArrayList<MutableList<EstimateDelta>>()
        var bytes = 0
        for (delta in due.asSequence().takeWhile { budgetBytes > 0 }.map { it.takeDelta(now) }) {
            if (delta.encodedBytes > settings.messageBytesMax || delta.levels.isEmpty()) continue
            if (batches.isEmpty() || bytes + delta.encodedBytes > settings.messageBytesMax) {
                batches += ArrayList<EstimateDelta>()
                bytes = 0
            }
            batches.last() += delta
            bytes += delta.encodedBytes
            budgetBytes -= delta.encodedBytes * recipients.size
        }
        return batches.map { EstimateDatagram(recipients, EstimateMessage(startedMillis, sequence++, it)) }
    }
}

/** Returns the samples since the last message, decayed to [now], and begins anew. */
private fun EndpointEstimate.takeDelta(now: Long): EstimateDelta {
    unsent.decayTo(now)
    val levels = (0 until LEVELS).filter { unsent.count(it) >= NEGLIGIBLE_SAMPLES }.map {
        LevelDelta(
            it,
            unsent.count(it).toFloat(),
            unsent.expectedMillis(it).toFloat(),
            unsent.observedMillis(it).toFloat(),
        )
    }
    unsent.clear()
    hasUnsent = false
    sentMillis = now
    return EstimateDelta(endpoint.endpoint, endpoint.bornMillis, levels)
}

private const val MILLIS_PER_SECOND: Double = 1_000.0
