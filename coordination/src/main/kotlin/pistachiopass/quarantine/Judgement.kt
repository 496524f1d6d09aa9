/**
 * Judges the evidence against parts.
 *
 * Of two parts that occur in the same requests the later one is the more specific one, and what speaks against it does
 * not count against the other. A part on which more endpoints ended explains the crashes that it shares with others.
 */
package pistachiopass.quarantine

/** Judges all of [parts] at the time [nowMillis]. */
internal class Judgement(
    private val parts: Collection<PartEvidence>,
    private val settings: QuarantineSettings,
    private val nowMillis: Long,
) {
    private val partsByHash = parts.associateBy { partHashOf(it.part) }
    private val quarantined = parts.filter { it.isQuarantined }

    /** Returns the part to quarantine next, the one on which most endpoints ended, or null if there is none. */
    fun condemnedOrNull(): PartEvidence? =
        parts.filter { !it.isQuarantined && it.crashes.size >= settings.runsMin && isCondemned(it) }
            .maxByOrNull { it.crashes.size }

    /** Returns a quarantined part whose evidence others explain, or null; one that failed a trial is none. */
    fun explainedOrNull(): PartEvidence? = quarantined.firstOrNull {
        it.strikes == 1 && explainersOf(it, it.runs.size + 1).isNotEmpty() && !isCondemned(it)
    }

    private fun isCondemned(suspect: PartEvidence): Boolean {
        val own = ownCrashesOf(suspect)
        val explainers = explainersOf(suspect, own.size)
        val countedUntilMillis = if (explainers.isEmpty()) nowMillis else nowMillis - settings.settleMillis
        val unexplained = own.filter { crash ->
            crash.endedMillis <= countedUntilMillis && explainers.none { it.hasEnded(crash.run) }
        }
        return hasEnoughRequests(unexplained) && unexplained.inSequence() >= settings.runsMin
    }

    /**
     * Returns the crashes that count against [suspect]. Those of requests with the same later part, which nothing has
     * cleared, count once, since they may be due to that part; none if that part is suspect itself.
     */
    private fun ownCrashesOf(suspect: PartEvidence): List<Crash> {
        val crashesByLaterParts = suspect.crashes.values.groupBy { it.laterParts.filterNot(::isCleared) }
        return crashesByLaterParts.flatMap { (laterParts, crashes) ->
            when {
                laterParts.isEmpty() -> crashes
                hasEnoughRequests(crashes) || laterParts.any(::isSuspect) -> emptyList()
                else -> crashes.take(1)
            }
        }
    }

    private fun isCleared(part: PartHash): Boolean {
        val known = partsByHash[part] ?: return false
        return known.epoch > 0 && !isSuspect(part)
    }

    private fun isSuspect(part: PartHash): Boolean = hasEnoughRequests(partsByHash[part]?.crashes?.values.orEmpty())

    private fun hasEnoughRequests(crashes: Collection<Crash>): Boolean =
        crashes.distinctBy { it.request }.size >= settings.requestsMin

    private fun explainersOf(suspect: PartEvidence, runsMin: Int): List<PartEvidence> =
        quarantined.filter { it !== suspect && it.runs.size >= runsMin }
}
