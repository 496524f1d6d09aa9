/** What speaks for a prompt part ending the runs of endpoints. */
package pistachiopass.quarantine

import pistachiopass.model.PromptPartId

/** The run [run] ended at [endedMillis] while it had [request], which was sent to it at [sentMillis]. */
internal class Crash(
    val run: EndpointRun,
    val request: RequestHash,
    val sentMillis: Long,
    val endedMillis: Long,
    /** Parts that followed in the prompt of the request. */
    val laterParts: List<PartHash>,
)

/** What is known of one part. Confined to one thread. */
internal class PartEvidence(val part: PromptPartId, var changedMillis: Long) {
    /** Rises each time the part is cleared, which voids the crashes before. */
    var epoch: Int = 0
        private set

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

    /** Adds [crash] and drops the oldest one beyond [crashesMax]; returns false if its run is known already. */
    fun add(crash: Crash, crashesMax: Int): Boolean {
        if (crash.run in crashes) return false
        if (crashes.size >= crashesMax) crashes.remove(crashes.keys.first())
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
        trialUntilMillis = Long.MIN_VALUE
        transmissions = 0
        otherRuns.clear()
        crashes.values.removeIf { it.endedMillis <= beginMillis }
    }
}

/**
 * Returns the greatest number of crashes that happened one after the other, each to an attempt that was sent after the
 * crash before. Runs that end at once, as in a power failure, count as one.
 */
internal fun Collection<Crash>.inSequence(): Int {
    var count = 0
    var lastEndedMillis = 0L
    sortedBy { it.endedMillis }.forEach { crash ->
        if (count == 0 || crash.sentMillis >= lastEndedMillis) {
            count++
            lastEndedMillis = crash.endedMillis
        }
    }
    return count
}
