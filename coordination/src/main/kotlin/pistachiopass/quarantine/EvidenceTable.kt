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

    /** Called when there is something to tell other instances. */
    var onNews: () -> Unit = {}

    /** Adds [crash] to the evidence against [part]; returns null if it is known already. */
    fun addOrNull(part: PromptPartId, crash: Crash): PartEvidence? {
        val known = parts.getOrPut(part) { PartEvidence(part, nowMillis()) }
        if (!known.add(crash, settings.runsMax)) return null
        known.transmissions = 0
        return known
    }

    /** Quarantines the parts against which there is enough evidence, and releases those that they explain. */
    fun judge() {
        var next = judgement().condemnedOrNull()
        while (next != null) {
            quarantine(next)
            next = judgement().condemnedOrNull()
        }
        var explained = judgement().explainedOrNull()
        while (explained != null) {
            clear(explained, ReleaseReason.EXPLAINED)
            explained = judgement().explainedOrNull()
        }
        while (parts.size > settings.partsMax) {
            val least = parts.values.minWith(compareBy<PartEvidence> { it.isQuarantined }.thenBy { it.crashes.size })
            parts.remove(least.part)
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

    /** Ends the quarantine of [known], if there is one, and voids the evidence. */
    fun clear(known: PartEvidence, reason: ReleaseReason) {
        val ageMillis = term.ageMillis(known)
        val wasQuarantined = known.isQuarantined
        known.beginEpoch(known.epoch + 1, nowMillis())
        if (wasQuarantined) listener.onReleased(known.part, reason, ageMillis)
        onNews()
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
