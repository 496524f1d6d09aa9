/**
 * Quarantines parts of prompts that end the endpoints on which they run, known as queries of death.
 *
 * When an endpoint ends, all requests on it break off, and nothing tells which of them ended it. Retries spread the
 * one that did to further endpoints. Evidence is therefore kept by part of the prompt and not by endpoint: a part is
 * quarantined once enough runs of endpoints have ended, one after the other, on requests that contain it, and no
 * request with it was answered meanwhile. A single answer clears a part. Two parts that occur in the same requests are
 * told apart by their position, since the later part is the more specific one, and crashes that a quarantined part
 * explains are no evidence against others.
 *
 * Requests with a quarantined part are refused. When the quarantine has expired, a few are tried, each by an instance
 * that decides by chance, so that the fleet makes about one trial for as many requests as it has instances. A trial
 * that is answered ends the quarantine; one that ends its endpoint renews it, for twice as long.
 *
 * Instances exchange evidence and quarantines, see [QuarantineGossip]. What they know of a part merges in any order,
 * and nothing that has to hold depends on which instances are members.
 */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId
import kotlin.random.Random

/** An attempt whose response broke off together with its connection. */
public class BrokenAttempt(
    public val run: EndpointRun,
    public val request: RequestHash,
    /** Parts of the prompt that other requests may share, in the order of the prompt. */
    public val parts: List<PromptPartId>,
    public val sentMillis: Long,
    /** Whether the head of the response was received. */
    public val hasHead: Boolean,
    /** Time since the first event of the response; null if there was none. */
    public val decodeMillis: Long?,
)

/** Whether a request may be sent. */
public sealed interface PartCheck {
    public data object Allowed : PartCheck

    /** The quarantine of [part] has expired, and this request shows whether it may end. */
    public data class Trial(public val part: PromptPartId) : PartCheck

    /** Requests with [part] are refused. */
    public data class Refused(public val part: PromptPartId) : PartCheck
}

/** Evidence against prompt parts and their quarantines, as known to one instance. Confined to one thread. */
public class PartQuarantine(
    private val nowMillis: () -> Long,
    private val instances: () -> Int,
    listener: QuarantineListener,
    private val random: Random = Random.Default,
    private val settings: QuarantineSettings = QuarantineSettings(),
) {
    private val table = EvidenceTable(nowMillis, listener, settings)
    private val term = QuarantineTerm(nowMillis, settings)
    internal val statements = PartStatements(table.parts, nowMillis, listener, settings)
    internal val evidence: Collection<PartEvidence> get() = table.parts.values

    /** Requests that this instance has refused since its start. */
    public var refused: Long = 0
        private set

    /** Called when there is something to tell other instances. */
    public var onNews: () -> Unit by table::onNews

    /** Returns the parts that are quarantined, or on trial after it, those quarantined first at the front. */
    public fun quarantined(): List<QuarantinedPart> =
        evidence.filter { it.isQuarantined }.map(term::viewOf).sortedByDescending { it.ageMillis }

    /** Records an attempt that broke off, and quarantines a part if that is evidence enough. */
    public fun onBroken(attempt: BrokenAttempt) {
        val decodeMillis = attempt.decodeMillis ?: 0
        if (decodeMillis >= settings.survivalMillis) onAnswered(attempt.parts)
        val isStale = !attempt.hasHead && nowMillis() - attempt.sentMillis < settings.staleMillis
        if (decodeMillis >= settings.onsetMillis || isStale) return
        val parts = attempt.parts.distinct()
        val changed = parts.mapIndexedNotNull { index, part ->
            val later = parts.drop(index + 1).take(LATER_PARTS_MAX).map(::partHashOf)
            table.addOrNull(part, Crash(attempt.run, attempt.request, attempt.sentMillis, nowMillis(), later))
        }
        changed.filter { it.isQuarantined && !term.isBlocking(it) }.forEach(table::quarantine)
        table.judge()
        if (changed.isNotEmpty()) onNews()
    }

    /** Records that an endpoint has survived a request with [answered], which clears these parts. */
    public fun onAnswered(answered: List<PromptPartId>) {
        if (table.parts.isEmpty()) return
        answered.mapNotNull(table.parts::get)
            .filter { it.crashes.isNotEmpty() || it.isQuarantined }
            .forEach { table.clear(it, ReleaseReason.ANSWERED) }
    }

    /** Ends the quarantine of [part] at all instances; returns false if it is not quarantined. */
    public fun lift(part: PromptPartId): Boolean {
        val known = table.parts[part]?.takeIf { it.isQuarantined } ?: return false
        table.clear(known, ReleaseReason.LIFTED)
        return true
    }

    /** Decides whether a request with [requested] is admitted; a trial is recorded as begun. */
    public fun check(requested: List<PromptPartId>): PartCheck {
        val known = quarantinedAmong(requested)
        val refusing = known.firstOrNull { term.isBlocking(it) || !mayTry(it) }
        return when {
            known.isEmpty() -> PartCheck.Allowed
            refusing != null -> {
                refused++
                refusing.refused++
                refusing.lastRefusedMillis = nowMillis()
                PartCheck.Refused(refusing.part)
            }
            else -> {
                known.forEach { it.trialUntilMillis = nowMillis() + settings.trialMillis }
                PartCheck.Trial(known.first().part)
            }
        }
    }

    /** Returns the part for which a request that was admitted earlier must not be sent any more, or null. */
    public fun blockingOrNull(requested: List<PromptPartId>): PromptPartId? =
        quarantinedAmong(requested).firstOrNull(term::isBlocking)?.part

    /** Forgets what is out of date; to be called every second or so. */
    public fun expire(): Unit = table.expire()

    /** Takes in what another instance knows. */
    internal fun receive(received: List<PartStatement>) {
        received.forEach(statements::merge)
        table.judge()
    }

    private fun quarantinedAmong(requested: List<PromptPartId>): List<PartEvidence> =
        if (table.parts.isEmpty()) emptyList() else requested.mapNotNull(table.parts::get).filter { it.isQuarantined }

    private fun mayTry(known: PartEvidence): Boolean =
        nowMillis() >= known.trialUntilMillis && random.nextInt(maxOf(1, instances())) == 0
}

/** Following parts that are remembered of a request; prompts share few parts with others. */
private const val LATER_PARTS_MAX: Int = 3
