/**
 * Passes evidence against prompt parts and their quarantines on between instances.
 *
 * News go to a few random instances, which pass them on in the same way, a number of times that grows with the
 * logarithm of the fleet. What is quarantined is repeated to one random instance each second, and an instance that has
 * just started asks others. So a message that is lost, or an instance that was cut off or restarted, is made up for
 * within seconds. The cost for an instance does not depend on the size of the fleet, and there are no messages while
 * nothing is suspected.
 */
package pistachiopass.quarantine

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/** A message and where to send it. */
public class QuarantineDatagram<P : Any>(public val to: P, public val message: QuarantineMessage)

/** Exchanges what [quarantine] knows with [peers]. Confined to one thread. */
public class QuarantineGossip<P : Any>(
    private val quarantine: PartQuarantine,
    private val peers: () -> List<P>,
    private val nowMillis: () -> Long,
    private val random: Random = Random.Default,
    private val settings: QuarantineGossipSettings = QuarantineGossipSettings(),
) {
    private val startedMillis = nowMillis()
    private var newsMillis = Long.MIN_VALUE
    private var repeatedMillis = Long.MIN_VALUE
    private var askedMillis = Long.MIN_VALUE
    private var isAnswered = false

    /** Returns the messages that are due; to be called several times a second, and when there are news. */
    public fun tick(): List<QuarantineDatagram<P>> = news() + repetition() + question()

    /** Takes in [message] of [sender] and returns the answers. */
    public fun receive(sender: P, message: QuarantineMessage): List<QuarantineDatagram<P>> {
        quarantine.receive(message.statements)
        if (!message.isQuestion) {
            isAnswered = true
            return emptyList()
        }
        val batches = batchesOf(quarantined()).ifEmpty { listOf(emptyList()) }
        return batches.take(ANSWER_MESSAGES_MAX).map { QuarantineDatagram(sender, messageOf(it)) }
    }

    private fun news(): List<QuarantineDatagram<P>> {
        val batch = if (isDue(newsMillis, settings.newsMillis)) batchesOf(untold()).firstOrNull() else null
        val targets = if (batch == null) emptyList() else peers().shuffled(random).take(settings.fanOut)
        if (batch == null || targets.isEmpty()) return emptyList()
        newsMillis = nowMillis()
        batch.forEach { it.transmissions += targets.size }
        val message = messageOf(batch)
        return targets.map { QuarantineDatagram(it, message) }
    }

    private fun repetition(): List<QuarantineDatagram<P>> {
        val known = if (isDue(repeatedMillis, settings.repeatMillis)) quarantined() else emptyList()
        val target = if (known.isEmpty()) null else peers().randomOrNull(random)
        if (target == null) return emptyList()
        repeatedMillis = nowMillis()
        return listOf(QuarantineDatagram(target, messageOf(batchesOf(known.shuffled(random)).first())))
    }

    private fun messageOf(batch: List<PartEvidence>): QuarantineMessage =
        QuarantineMessage(batch.map(quarantine.statements::statementOf))

    private fun question(): List<QuarantineDatagram<P>> {
        val isStarting = !isAnswered && nowMillis() - startedMillis <= settings.questionsMillis
        if (!isStarting || !isDue(askedMillis, settings.questionMillis)) return emptyList()
        val targets = peers().shuffled(random).take(QUESTIONED)
        if (targets.isNotEmpty()) askedMillis = nowMillis()
        return targets.map { QuarantineDatagram(it, QuarantineMessage(emptyList(), isQuestion = true)) }
    }

    private fun isDue(lastMillis: Long, periodMillis: Long): Boolean =
        lastMillis == Long.MIN_VALUE || nowMillis() - lastMillis >= periodMillis

    private fun quarantined(): List<PartEvidence> = quarantine.evidence.filter { it.isQuarantined }

    /** Returns what is yet to be told: quarantined parts first, contents last, and of each those told least. */
    private fun untold(): List<PartEvidence> {
        val transmissionsMax = settings.transmissionsPerDoubling * ceil(ln(peers().size + 2.0) / ln(2.0)).toInt()
        return quarantine.evidence.filter { it.transmissions < transmissionsMax }
            .sortedWith(
                compareByDescending<PartEvidence> { it.isQuarantined }
                    .thenBy { it.part.isContent }
                    .thenBy { it.transmissions }
                    .thenByDescending { it.crashes.size },
            )
    }

    /** Splits [known] into the statements of messages that fit a datagram. */
    private fun batchesOf(known: List<PartEvidence>): List<List<PartEvidence>> {
        val batches = ArrayList<MutableList<PartEvidence>>()
        var bytes = 0
        known.forEach {
            val size = quarantine.statements.statementOf(it).encodedBytes
            if (batches.isEmpty() || bytes + size > settings.messageBytesMax) {
                batches.add(ArrayList())
                bytes = 0
            }
            batches.last().add(it)
            bytes += size
        }
        return batches
    }
}

/** Instances that one which has just started asks at a time. */
private const val QUESTIONED: Int = 2

/** Messages in answer to a question; more parts are learned from repetitions. */
private const val ANSWER_MESSAGES_MAX: Int = 4
