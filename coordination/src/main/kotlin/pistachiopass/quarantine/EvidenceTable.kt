/** The evidence against all parts that one instance knows of. */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId

/** Holds the evidence and judges it; a bounded number of parts is kept. Confined to one thread. */
internal class EvidenceTable(
    private val nowMillis: () -> Long,
    private val listener: QuarantineListener,
    private val settings: QuarantineSettings,
) {
    private val term = QuarantineTerm(nowMillis, settings)
    val parts = LinkedHashMap<PromptPartId, PartEvidence>()
    val answered = AnsweredParts(settings.answeredMax)

    /** Called when there is something to tell other instances. */
    var onNews: () -> Unit = {}

    /** Adds [crash] to the evidence against [part]; returns null if it is known already. */
    fun addOrNull(part: PromptPartId, crash: Crash): PartEvidence? {
        val known = parts.getOrPut(part) {
            val answeredMillis = answered.millisOrNull(part)
            PartEvidence(part, answeredMillis ?: nowMillis(), epoch = if (answeredMillis == null) 0 else 1)
        }
        if (!known.add(crash, settings.runsMax)) return null
        known.transmissions = 0
        return known
    }

    /** Quarantines the parts with enough evidence against them, and suspends the quarantine of those they explain. */
    fun judge() {
        var next = judgement().condemnedOrNull()
        while (next != null) {
            quarantine(next)
            next = judgement().condemnedOrNull()
        }
        val judgement = judgement()
        val explained = judgement.explained()
        parts.values.filter { it.isQuarantined }.forEach {
            it.scope = judgement.scopeOf(it)
            setExplained(it, it in explained)
        }
        while (parts.size > settings.partsMax) {
            val least = parts.values.minWith(
                compareBy<PartEvidence> { it.isQuarantined }.thenBy { !it.part.isContent }.thenBy { it.crashes.size },
            )
            parts.remove(least.part)
        }
    }

    private fun setExplained(known: PartEvidence, isExplained: Boolean) {
        if (known.isExplained == isExplained) return
        known.isExplained = isExplained
        if (isExplained) {
            listener.onReleased(known.part, ReleaseReason.EXPLAINED, term.ageMillis(known))
        } else {
            listener.onQuarantined(term.viewOf(known), isLearned = false)
        }
    }

    private fun judgement() = Judgement(parts.values, settings, nowMillis())

    /** Begins a quarantine of [known], the first one or another in a row. */
    fun quarantine(known: PartEvidence) {
        known.strikes++
        known.sinceMillis = nowMillis()
        known.transmissions = 0
        listener.onQuarantined(term.viewOf(known), isLearned = false)
        onNews()
    }

    /** Ends the quarantine of [known], if there is one, and voids the evidence up to [atMillis]. */
    fun clear(known: PartEvidence, reason: ReleaseReason, atMillis: Long = nowMillis()) {
        val ageMillis = term.ageMillis(known)
        val wasQuarantined = known.isQuarantined && !known.isExplained
        known.beginEpoch(known.epoch + 1, atMillis)
        if (wasQuarantined) listener.onReleased(known.part, reason, ageMillis)
        onNews()
    }

    /** Clears [known] of crashes that were before an answer of this instance, which has learned of them after it. */
    fun clearIfAnsweredSince(known: PartEvidence) {
        val atMillis = answered.millisOrNull(known.part) ?: return
        val isNews = known.changedMillis < atMillis && known.crashes.values.any { it.endedMillis <= atMillis }
        if (isNews) clear(known, ReleaseReason.ANSWERED, atMillis)
    }

    /** Forgets what is out of date, and judges what is left. */
    fun expire() {
        val now = nowMillis()
        parts.values.filter(term::isUnused).forEach {
            listener.onReleased(it.part, ReleaseReason.UNUSED, term.ageMillis(it))
            parts.remove(it.part)
        }
        val others = parts.values.filterNot { it.isQuarantined }
        others.forEach { known ->
            known.crashes.values.removeIf { now - it.endedMillis > settings.evidenceMillis }
            val isOutdated = known.crashes.isEmpty() && now - known.changedMillis > settings.clearedMillis
            if (isOutdated) parts.remove(known.part)
        }
        judge()
    }
}
