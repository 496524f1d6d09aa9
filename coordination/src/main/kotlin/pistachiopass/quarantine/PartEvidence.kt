/** What speaks for a part of prompts, or for the content of a request, ending the runs of endpoints. */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId

/** The run [run] ended at [endedMillis] while it had [request], which was sent to it at [sentMillis]. */
internal class Crash(
    val run: EndpointRun,
    val request: RequestHash,
    val sentMillis: Long,
    val endedMillis: Long,
    /** Parts of the prompt of the request, in their order; of a long prompt those around the suspect. */
    val parts: List<PartHash>,
)

/** What is known of one suspect, last cleared at [changedMillis] if [epoch] is not 0. Confined to one thread. */
internal class PartEvidence(val part: PromptPartId, var changedMillis: Long, epoch: Int = 0) {
    /** Rises each time the suspect is cleared, which voids the crashes before. */
    var epoch: Int = epoch
        private set

    /** Whether the suspect was cleared once, as by an answer to a request that contains it, as far as remembered. */
    val wasCleared: Boolean get() = epoch > 0

    /** Requests that are refused while the suspect is quarantined. */
    var scope: QuarantineScope = QuarantineScope.ALL

    /** Whether others explain the crashes of the suspect; no request is refused for it as long as they do. */
    var isExplained: Boolean = false

    /** Place of the suspect in the prompt of its latest crash, from 0. */
    val position: Int get() = crashes.values.lastOrNull()?.parts?.indexOf(partHashOf(part)) ?: 0

    /** Crashes of this epoch by run, in the order in which they became known. */
    val crashes = LinkedHashMap<EndpointRun, Crash>()

    /** Other runs that ended on requests with the part, of which no more is known. */
    private val otherRuns = LinkedHashSet<EndpointRun>()

    /** Quarantines in a row. */
    var strikes = 0

    /** Begin of the last quarantine; null if the part was not quarantined in this epoch. */
    var sinceMillis: Long? = null

    /** Time until which the outcome of a trial is awaited. */
    var trialUntilMillis = Long.MIN_VALUE

    /** Requests that were refused, and when the last one was. */
    var refused = 0L
    var lastRefusedMillis = Long.MIN_VALUE

    /** Messages that have passed on the latest change. */
    var transmissions = 0

    val isQuarantined: Boolean get() = sinceMillis != null
    val runs: List<EndpointRun> get() = crashes.keys.toList() + otherRuns

    fun hasEnded(run: EndpointRun): Boolean = run in crashes || run in otherRuns

    /**
     * Adds [crash] and drops the oldest one beyond [crashesMax]; returns false if its run is known already. Of several
     * requests on one run the one with most parts counts, since each of them may be to blame.
     */
    fun add(crash: Crash, crashesMax: Int): Boolean {
        val known = crashes[crash.run]
        if (known != null && known.parts.size >= crash.parts.size) return false
        if (known == null && crashes.size >= crashesMax) crashes.remove(crashes.keys.first())
        otherRuns -= crash.run
        crashes[crash.run] = crash
        return true
    }

    /** Adds [runs] of which no more is known, as far as there is room for [runsMax]. */
    fun addRuns(runs: List<EndpointRun>, runsMax: Int): Unit =
        runs.filterNot(::hasEnded).take(maxOf(0, runsMax - crashes.size - otherRuns.size)).forEach(otherRuns::add)

    /** Begins [nextEpoch] at [beginMillis]; only crashes after that remain. */
    fun beginEpoch(nextEpoch: Int, beginMillis: Long) {
        epoch = nextEpoch
        changedMillis = beginMillis
        strikes = 0
        sinceMillis = null
        scope = QuarantineScope.ALL
        isExplained = false
        trialUntilMillis = Long.MIN_VALUE
        transmissions = 0
        otherRuns.clear()
        crashes.values.removeIf { it.endedMillis <= beginMillis }
    }
}

/**
 * Returns the greatest number of crashes that happened one after the other, each to an attempt that was sent after the
 * crash before. Runs that end at once, as in a power failure, count as one. Times that other instances stated are off
 * by up to [skewMillis].
 */
internal fun Collection<Crash>.inSequence(skewMillis: Long): Int {
    var count = 0
    var lastEndedMillis = 0L
    sortedBy { it.endedMillis }.forEach { crash ->
        if (count == 0 || crash.sentMillis >= lastEndedMillis - skewMillis) {
            count++
            lastEndedMillis = crash.endedMillis
        }
    }
    return count
}
