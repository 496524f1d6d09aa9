/** The suspects that occurred beside another one in the requests on which endpoints ended. */
package pistachiopass.quarantine

/** Compares suspects with their companions, which [suspectsByHash] holds as far as anything is known of them. */
internal class Companions(
    private val suspectsByHash: Map<PartHash, PartEvidence>,
    private val settings: QuarantineSettings,
) {
    /** Returns the parts that were in all requests that [suspect] is blamed for. */
    fun inseparableFrom(suspect: PartEvidence): Set<PartHash> =
        suspect.crashes.values
            .map { companionsOf(suspect, it) }
            .reduceOrNull { common, companions -> common.apply { retainAll(companions) } }
            .orEmpty()

    /** Returns which requests with [suspect], which is quarantined, are refused. */
    fun scopeOf(suspect: PartEvidence): QuarantineScope {
        val crashes = suspect.crashes.values
        val isProved = suspect.strikes > 1 || crashes.distinctBy { it.request }.size != settings.requestsMin
        val seen = if (isProved || suspect.part.isContent) {
            null
        } else {
            crashes.flatMapTo(HashSet()) { companionsOf(suspect, it) + PartHash(it.request.hash) }
        }
        return QuarantineScope(inseparableFrom(suspect), seen)
    }

    private fun companionsOf(suspect: PartEvidence, crash: Crash): HashSet<PartHash> {
        val own = partHashOf(suspect.part)
        return crash.parts.filterTo(HashSet()) { it != own && mayBeToBlame(it, suspect, crash) }
    }

    /** A companion that was cleared before is no match for a suspect that never was. */
    private fun mayBeToBlame(companion: PartHash, suspect: PartEvidence, crash: Crash): Boolean {
        val known = suspectsByHash[companion] ?: return true
        val isCleared = known.wasCleared && known.changedMillis >= crash.endedMillis && !known.isQuarantined
        return !isCleared && (suspect.wasCleared || !known.wasCleared)
    }
}
