/**
 * Bookkeeping of a lease table for one endpoint: pledges, leases, the last load report and the cold start.
 *
 * A lease is granted only if two bounds hold. What leases allocate from a pledge must stay within the pledged share,
 * and the capacity of this table's leases plus any other use that the load report shows must stay within the budget.
 */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import kotlin.math.max

/** Configuration of one endpoint account, from the published tables. */
public data class AccountConfig(
    val endpoint: Endpoint,
    val shares: Map<InstanceId, Share>,
    /** Whether new leases may be granted: the endpoint is active and its data centre is in service. */
    val isOpen: Boolean,
    /** Whether this instance is the published owner, which also cancels orphaned requests of earlier owners. */
    val isOwned: Boolean,
)

/** Account of one endpoint; guarded by the lock of the lease table. */
internal class EndpointAccount(
    config: AccountConfig,
    private val times: CapacityTimes,
    onColdChanged: (isCold: Boolean) -> Unit,
) {
    /** Time at which each recently ended lease ended; an older report may still list its request. */
    private val endedAtMillis: HashMap<RequestId, Long> = HashMap()
    private var lastChangeTakenAtMillis: Long = Long.MIN_VALUE
    private var reportedAtMillis: Long? = null

    val pledges: ReceivedPledges = ReceivedPledges()
    val leases: LinkedHashMap<RequestId, Lease> = LinkedHashMap()
    val foreign: ForeignLeases = ForeignLeases(times)
    val coldStart: ColdStart = ColdStart(onColdChanged)

    var config: AccountConfig = config
        set(value) {
            if (value.isOpen && !field.isOpen) coldStart.markCold()
            field = value
        }

    var report: EndpointReport? = null
        private set

    val warmUpFraction: Double get() = coldStart.warmUpFraction(config.endpoint)

    /** Returns the pledges from which a lease of [needed] can be allocated, or the reason for a refusal. */
    fun tryAllocate(needed: Capacity, nowMillis: Long): AllocationOutcome {
        markColdIfSilent(nowMillis)
        val usage = usage()
        val limit = config.endpoint.budget.at(warmUpFraction)
        val refusal = when {
            !config.isOwned && pledges.unexpired(nowMillis).isEmpty() -> LeaseRefusal.NOT_OWNER
            !config.isOpen -> LeaseRefusal.CLOSED
            !config.endpoint.budget.warm.covers(needed) -> LeaseRefusal.TOO_LARGE
            report == null -> LeaseRefusal.NO_REPORT
            !limit.covers(usage.total + needed) -> if (coldStart.isCold) LeaseRefusal.COLD_FULL else LeaseRefusal.FULL
            else -> null
        }
        return refusal?.let(AllocationOutcome::Refused)
            ?: PledgeSelection(config, warmUpFraction, usage, usablePledges(nowMillis)).allocate(needed)
    }

    /** Processes a load report; one that is not newer than the last one only resets the report timeout. */
    fun onReport(next: EndpointReport, nowMillis: Long) {
        val previous = report
        reportedAtMillis = nowMillis
        if (previous != null && previous.takenAtMillis >= next.takenAtMillis) return
        if (previous == null || next.differsFrom(previous)) lastChangeTakenAtMillis = next.takenAtMillis
        report = next
        coldStart.onReport(next, config.endpoint)
        endedAtMillis.values.removeIf { it + times.inFlightMillis <= next.takenAtMillis }
        foreign.onReport(next.requests.filter { it.id !in leases }, nowMillis)
        endUnlistedLeases(next)
    }

    /** Removes a lease for which the endpoint is known to hold nothing. */
    fun end(lease: RequestId, nowMillis: Long) {
        leases.remove(lease) ?: return
        endedAtMillis[lease] = nowMillis
    }

    fun isSilent(nowMillis: Long): Boolean =
        reportedAtMillis.let { it == null || nowMillis - it > times.reportTimeoutMillis }

    /** Marks the endpoint cold if its load reports have stopped. */
    fun markColdIfSilent(nowMillis: Long) {
        if (report != null && isSilent(nowMillis)) coldStart.markCold()
    }

    fun expireLeases(nowMillis: Long): List<Lease> =
        leases.values.filter { it.isOverdue(nowMillis, times) }.onEach { it.expire(nowMillis) }

    /** Returns the capacity that is or may be in use, by the leases and the last load report. */
    fun usage(): Usage {
        val usage = Usage()
        leases.values.forEach { usage.add(it.idFields.reserved, it.idFields.allocations) }
        report?.let { addReported(it, usage) }
        return usage
    }

    private fun addReported(report: EndpointReport, usage: Usage) {
        val uses = report.requests.filter { it.id !in leases && it.id !in endedAtMillis }.map { it.toReportedUse() }
        uses.forEach { usage.add(it.amount, it.allocations) }
        val unlistedTokens = max(0, report.usedTokens - report.requests.sumOf { it.tokens })
        usage.add(Capacity(unlistedTokens, 0), emptyList())
    }

    /**
     * Ends inactive leases whose request is missing from two consecutive reports taken after it could last have
     * arrived.
     *
     * A report that shows no change since then may be stale, so it does not end a lease; cancelling the request does.
     * Plain services do not support cancellation, so their reports are trusted as they are.
     */
    private fun endUnlistedLeases(report: EndpointReport) {
        val hasMemory = config.endpoint.budgetTokens > 0
        val freshAsOfMillis = if (hasMemory) lastChangeTakenAtMillis else report.takenAtMillis
        val listed = report.requests.mapTo(HashSet()) { it.id }
        leases.values.filter { it.id in listed }.forEach(Lease::resetAbsences)
        val absent = leases.values.filter {
            it.id !in listed && it.state != LeaseState.ACTIVE && it.lastArrivalMillis(times) < freshAsOfMillis
        }
        absent.filter { it.recordAbsence() }.forEach { leases.remove(it.id) }
    }

    /**
     * Returns the pledges that leave a holder enough time to send and whose earlier use the load report shows.
     *
     * When a series of pledges begins, no request is sent any more under leases from earlier pledges of the share. The
     * last of them arrive within [CapacityTimes.inFlightMillis], so only a later report lists them all.
     */
    private fun usablePledges(nowMillis: Long): List<ReceivedPledge> {
        val takenAtMillis = report?.takenAtMillis ?: return emptyList()
        return pledges.unexpired(nowMillis + times.minSendWindowMillis)
            .filter { it.sinceMillis + times.inFlightMillis <= takenAtMillis }
            .map { it.pledge }
    }
}
