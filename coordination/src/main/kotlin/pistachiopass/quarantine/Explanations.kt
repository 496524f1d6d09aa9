/** Which crashes are explained by suspects that are blamed already. */
package pistachiopass.quarantine

/** Explains crashes as of [nowMillis]. */
internal class Explanations(private val settings: QuarantineSettings, private val nowMillis: Long) {
    /**
     * Returns the crashes that count against [suspect] beside the [blamed] ones; with [settledOnly] only those of which
     * it is known by now whether these explain them.
     */
    fun unexplained(suspect: PartEvidence, blamed: List<PartEvidence>, settledOnly: Boolean): List<Crash> {
        val explainers = blamed.filter { it !== suspect && mayExplain(it, suspect) }
        return suspect.crashes.values.filter { crash ->
            // Evidence against a part that was never cleared arrives later than the crash itself.
            val needsTime = suspect.wasCleared || explainers.any { mayStillExplain(it, crash) }
            val isCounted = !settledOnly || !needsTime || isSettled(crash)
            isCounted && explainers.none { it.hasEnded(crash.run) && !isContentOf(it, crash) }
        }
    }

    fun isSettled(crash: Crash): Boolean = nowMillis - crash.endedMillis >= settings.settleMillis

    /** A suspect that was cleared before is explained by parts that never were, others by those with more crashes. */
    private fun mayExplain(explainer: PartEvidence, suspect: PartEvidence): Boolean {
        val isStronger = suspect.wasCleared && !explainer.wasCleared && !explainer.part.isContent
        return isStronger || explainer.runs.size >= suspect.crashes.size
    }

    /** A content explains the crashes of requests beside it, but not its own: a part of it may be to blame. */
    private fun isContentOf(explainer: PartEvidence, crash: Crash): Boolean =
        explainer.part.isContent && requestHashOf(explainer.part) == crash.request

    /** Attempts with [explainer] that were sent before its quarantine may have ended the run. */
    private fun mayStillExplain(explainer: PartEvidence, crash: Crash): Boolean =
        crash.endedMillis - (explainer.sinceMillis ?: nowMillis) <= settings.inFlightMillis &&
            !isContentOf(explainer, crash)
}
