/**
 * Quarantines parts of prompts, and contents of requests, that end the endpoints on which they run, known as queries of
 * death.
 *
 * When an endpoint ends, all requests on it break off, and nothing tells which of them ended it. Retries spread the
 * one that did to further endpoints. Evidence is therefore kept by part of the prompt and not by endpoint: a part is
 * quarantined once enough runs of endpoints have ended, one after the other, on requests that contain it, and no
 * request with it was answered meanwhile. A single answer clears a part. The content of a request counts as one more
 * part, which only requests with the same content have: a request can end endpoints though each of its parts is sound.
 * [Judgement] tells which of the parts that crashes have in common is to blame.
 *
 * Requests with a quarantined part are refused, as far as its [QuarantineScope] goes: those that could still clear it
 * are served. When the quarantine has expired, a few are tried, each by an instance
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
    /** Stands for the content of the request; see [contentPartOf]. */
    public val content: PromptPartId,
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

    /** Whether anything is held against the content of a request, so that contents have to be compared. */
    public val hasContents: Boolean get() = evidence.any { it.part.isContent }

    /** Requests that this instance has refused since its start. */
    public var refused: Long = 0
        private set

    /** Called when there is something to tell other instances. */
    public var onNews: () -> Unit by table::onNews

    /** Returns the parts that are quarantined, or on trial after it, those quarantined first at the front. */
    public fun quarantined(): List<QuarantinedPart> =
        evidence.filter { it.isQuarantined && !it.isExplained }.map(term::viewOf).sortedByDescending { it.ageMillis }

    /** Records an attempt that broke off, and quarantines a part if that is evidence enough. */
    public fun onBroken(attempt: BrokenAttempt) {
        val decodeMillis = attempt.decodeMillis ?: 0
        if (decodeMillis >= settings.survivalMillis) onAnswered(attempt.parts)
        val isStale = !attempt.hasHead && nowMillis() - attempt.sentMillis < settings.staleMillis
        if (decodeMillis >= settings.onsetMillis || isStale) return
        val parts = attempt.parts.distinct()
        val hashes = parts.map(::partHashOf)
        val request = requestHashOf(attempt.content)
        val crashOf = { around: List<PartHash> -> Crash(attempt.run, request, attempt.sentMillis, nowMillis(), around) }
        val changed = parts.mapIndexedNotNull { index, part -> table.addOrNull(part, crashOf(hashes.around(index))) } +
            listOfNotNull(table.addOrNull(attempt.content, crashOf(emptyList())))
        changed.filter { it.isQuarantined && !term.isBlocking(it) }.forEach(table::quarantine)
        table.judge()
        if (changed.isNotEmpty()) onNews()
    }

    /** Records that an endpoint has survived a request with [parts], which clears these. */
    public fun onAnswered(parts: List<PromptPartId>) {
        parts.forEach { if (!it.isContent) table.answered.add(it, nowMillis()) }
        if (table.parts.isEmpty()) return
        val cleared = parts.mapNotNull(table.parts::get).filter { it.crashes.isNotEmpty() || it.isQuarantined }
        cleared.forEach { table.clear(it, ReleaseReason.ANSWERED) }
        if (cleared.isNotEmpty()) table.judge()
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
        received.mapNotNull { table.parts[it.part] }.forEach(table::clearIfAnsweredSince)
        table.judge()
        if (received.any { table.parts[it.part]?.transmissions == 0 }) onNews()
    }

    private fun quarantinedAmong(requested: List<PromptPartId>): List<PartEvidence> {
        if (table.parts.isEmpty()) return emptyList()
        val known = requested.mapNotNull(table.parts::get).filter { it.isQuarantined && !it.isExplained }
        return if (known.isEmpty()) known else known.filter { it.scope.contains(requested.map(::partHashOf)) }
    }

    private fun mayTry(known: PartEvidence): Boolean =
        nowMillis() >= known.trialUntilMillis && random.nextInt(maxOf(1, instances())) == 0
}

/** Returns those around [index] of which a crash keeps no more than [CRASH_PARTS_MAX]. */
private fun List<PartHash>.around(index: Int): List<PartHash> {
    val from = (index - CRASH_PARTS_MAX / 2).coerceIn(0, maxOf(0, size - CRASH_PARTS_MAX))
    return subList(from, minOf(size, from + CRASH_PARTS_MAX))
}

/** Parts of a prompt that a crash keeps; prompts share few parts with others. */
private const val CRASH_PARTS_MAX: Int = 8
