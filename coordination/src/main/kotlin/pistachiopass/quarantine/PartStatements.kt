/**
 * Merges what other instances state about prompt parts.
 *
 * The higher epoch holds. In one epoch the crashes add up and the higher number of strikes holds; of two quarantines
 * with the same number the earlier one does. So statements may come in any order, twice or not at all.
 */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId

/** Translates between [parts] and statements. Confined to one thread. */
internal class PartStatements(
    private val parts: MutableMap<PromptPartId, PartEvidence>,
    private val nowMillis: () -> Long,
    private val listener: QuarantineListener,
    private val settings: QuarantineSettings,
) {
    private val term = QuarantineTerm(nowMillis, settings)

    fun statementOf(known: PartEvidence): PartStatement {
        val now = nowMillis()
        val stated = statedCrashesOf(known)
        val others = if (known.isQuarantined) known.runs - stated.mapTo(HashSet()) { it.run } else emptyList()
        return PartStatement(
            known.part,
            known.epoch,
            known.strikes,
            ageMillis = now - (known.sinceMillis ?: known.changedMillis),
            stated.map { RunEnd(it.run, it.request, now - it.sentMillis, now - it.endedMillis, it.parts) },
            others.takeLast(settings.statedRunsMax),
        )
    }

    /** Crashes on different contents tell suspects apart, so they go before those on the same one. */
    private fun statedCrashesOf(known: PartEvidence): List<Crash> {
        val latestFirst = known.crashes.values.reversed()
        return if (known.isQuarantined) {
            (latestFirst.distinctBy { it.request } + latestFirst).distinct().take(CRASHES_OF_QUARANTINED)
        } else {
            latestFirst.take(settings.statedCrashesMax)
        }
    }

    fun merge(statement: PartStatement) {
        val now = nowMillis()
        val held = parts[statement.part]
        if (held == null && term.isOutdated(statement)) return
        val known = held ?: PartEvidence(statement.part, now).also { parts[it.part] = it }
        if (statement.epoch < known.epoch) {
            known.transmissions = 0
            return
        }
        if (statement.epoch > known.epoch) beginEpoch(known, statement)
        known.addRuns(statement.otherRuns, settings.runsMax)
        val isNew = mergeCrashes(known, statement.ends, now)
        if (mergeQuarantine(known, statement, now - statement.ageMillis) || isNew) known.transmissions = 0
    }

    private fun beginEpoch(known: PartEvidence, statement: PartStatement) {
        val quarantineAgeMillis = term.ageMillis(known)
        val isReleased = known.isQuarantined && statement.strikes == 0
        known.beginEpoch(statement.epoch, nowMillis() - if (statement.strikes > 0) 0 else statement.ageMillis)
        if (isReleased) listener.onReleased(known.part, ReleaseReason.PEER, quarantineAgeMillis)
    }

    private fun mergeCrashes(known: PartEvidence, ends: List<RunEnd>, now: Long): Boolean =
        ends.filter { it.endedAgeMillis in 0..settings.evidenceMillis && it.sentAgeMillis >= it.endedAgeMillis }
            .map { Crash(it.run, it.request, now - it.sentAgeMillis, now - it.endedAgeMillis, it.parts) }
            .count { known.add(it, settings.runsMax) } > 0

    private fun mergeQuarantine(known: PartEvidence, statement: PartStatement, sinceMillis: Long): Boolean {
        val held = known.sinceMillis
        if (statement.strikes <= known.strikes) {
            if (held != null && statement.strikes == known.strikes) known.sinceMillis = minOf(held, sinceMillis)
            return false
        }
        val wasBlocking = term.isBlocking(known)
        known.strikes = statement.strikes
        known.sinceMillis = sinceMillis
        if (!wasBlocking) listener.onQuarantined(term.viewOf(known), isLearned = true)
        return true
    }
}

/** Crashes of a quarantined part that a message describes, as evidence; the runs of the others are named only. */
private const val CRASHES_OF_QUARANTINED: Int = 4
