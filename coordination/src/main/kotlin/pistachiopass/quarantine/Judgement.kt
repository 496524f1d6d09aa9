/**
 * Judges the evidence against suspects: parts of prompts, and the contents of whole requests.
 *
 * Crashes come with sets of suspects, so those to blame are found by group testing. An answer clears all suspects of
 * its request. What is blamed is the suspect that explains most of the crashes left: it does so with one assumption,
 * where its companions, which vary, need one each. Its place in the prompt says nothing. Further attempts of the same
 * content show that a crash was no chance, but cannot tell the suspects of that content apart; other contents can.
 */
package pistachiopass.quarantine

/** Judges all of [suspects] at the time [nowMillis]. */
internal class Judgement(
    private val suspects: Collection<PartEvidence>,
    private val settings: QuarantineSettings,
    nowMillis: Long,
) {
    private val suspectsByHash = suspects.associateBy { partHashOf(it.part) }
    private val quarantined = suspects.filter { it.isQuarantined }
    private val companions = Companions(suspectsByHash, settings)
    private val explanations = Explanations(settings, nowMillis)

    /** Returns the suspect to quarantine next, or null if there is none. */
    fun condemnedOrNull(): PartEvidence? {
        val blamed = quarantined.filterNot { it.isExplained }
        return suspects
            .filter { !it.isQuarantined && it.crashes.size >= settings.runsMin && isCondemned(it, blamed) }
            .filter(::areCompanionsKnown)
            .maxWithOrNull(
                compareBy<PartEvidence> { !it.wasCleared }.thenBy { it.crashes.size }.thenBy { it.position },
            )
            ?.let(::representativeOf)
    }

    /**
     * Returns the quarantined parts whose evidence others explain; one that failed a trial is none of them. Contents
     * are not explained: if the part to blame is cleared later, they are to blame after all.
     */
    fun explained(): Set<PartEvidence> {
        val explained = HashSet<PartEvidence>()
        val blamed = ArrayList<PartEvidence>()
        quarantined.sortedByDescending { it.runs.size }.forEach {
            if (isExplained(it, blamed)) explained += it else blamed += it
        }
        return explained
    }

    /** Returns which requests with [suspect], which is quarantined, are refused. */
    fun scopeOf(suspect: PartEvidence): QuarantineScope = companions.scopeOf(suspect)

    private fun isExplained(suspect: PartEvidence, blamed: List<PartEvidence>): Boolean =
        !suspect.part.isContent && suspect.strikes == 1 &&
            blamed.any { it.runs.size > suspect.runs.size } && !isCondemned(suspect, blamed, settledOnly = false)

    private fun isCondemned(
        suspect: PartEvidence,
        blamed: List<PartEvidence>,
        settledOnly: Boolean = true,
    ): Boolean {
        val unexplained = explanations.unexplained(suspect, blamed, settledOnly)
        return unexplained.distinctBy { it.request }.size >= requestsMin(suspect) &&
            unexplained.inSequence(settings.skewMillis) >= settings.runsMin
    }

    private fun requestsMin(suspect: PartEvidence): Int = when {
        suspect.part.isContent -> 1
        suspect.wasCleared -> settings.requestsMin + 1
        else -> settings.requestsMin
    }

    /** Evidence against parts that cannot be told from [suspect] may still be on its way. */
    private fun areCompanionsKnown(suspect: PartEvidence): Boolean =
        explanations.isSettled(suspect.crashes.values.last()) ||
            companions.inseparableFrom(suspect).all { it in suspectsByHash }

    /** Returns the last of the parts that cannot be told apart, so that all instances quarantine the same one. */
    private fun representativeOf(suspect: PartEvidence): PartEvidence =
        (companions.inseparableFrom(suspect).mapNotNull(suspectsByHash::get) + suspect)
            .filter { it.crashes.isNotEmpty() && !it.isQuarantined }
            .maxBy { it.position }
}
