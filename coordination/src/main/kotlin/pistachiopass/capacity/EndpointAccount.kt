/**
 * The account that an owner keeps of one endpoint: pledges, leases, the last report and the cold start.
 *
 * A lease is granted only if it fits both bounds. The first: for each pledge, what leases allocation from it stays within
 * its share. The second: what this account has leased and what the report shows besides stay within the budget.
 */
package pistachiopass.capacity

import pistachiopass.model.Endpoint
import pistachiopass.model.InstanceId
import pistachiopass.model.RequestId
import kotlin.math.max

/** Says what an account follows: the endpoint, who holds which share, and whether it takes new work. */
public data class AccountConfig(
    val endpoint: Endpoint,
    val shares: Map<InstanceId, Share>,
    /** Whether new leases may be granted: the endpoint is active and its data centre in service. */
    val isOpen: Boolean,
    /** Whether this instance is the published owner, which cancels orphans of earlier owners. */
    val isOwned: Boolean,
)

/** Keeps one account; guarded by the table. */
internal class EndpointAccount(
    config: AccountConfig,
    private val times: CapacityTimes,
    onColdChanged: (isCold: Boolean) -> Unit,
) {
    private val ended: HashMap<RequestId, Long> = HashMap()
    private var changeTakenAtMillis: Long = Long.MIN_VALUE
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

    /** Returns the allocations for a lease of [needed], or the reason why there is no lease. */
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
            ?: LeaseAllocation(config, warmUpFraction, usage, usablePledges(nowMillis)).allocate(needed)
    }

    /** Takes a report in unless a later one is known. */
    fun onReport(next: EndpointReport, nowMillis: Long) {
        val previous = report
        reportedAtMillis = nowMillis
        if (previous != null && previous.takenAtMillis >= next.takenAtMillis) return
        if (previous == null || next.differsFrom(previous)) changeTakenAtMillis = next.takenAtMillis
        report = next
        coldStart.onReport(next, config.endpoint)
        ended.values.removeIf { it + times.inFlightMillis <= next.takenAtMillis }
        foreign.onReport(next.requests.filter { it.id !in leases }, nowMillis)
        endUnlistedLeases(next)
    }

    /** Removes a lease of which the endpoint is known to hold nothing. */
    fun end(lease: RequestId, nowMillis: Long) {
        leases.remove(lease) ?: return
        ended[lease] = nowMillis
    }

    /** Returns whether the endpoint has given no report for too long. */
    fun isSilent(nowMillis: Long): Boolean = reportedAtMillis.let { it == null || nowMillis - it > times.reportTimeoutMillis }

    /** Makes the endpoint cold when it has given no report for too long. */
    fun markColdIfSilent(nowMillis: Long) {
        if (report != null && isSilent(nowMillis)) coldStart.markCold()
    }

    /** Expires the leases that were not renewed in time and returns them. */
    fun expireLeases(nowMillis: Long): List<Lease> =
        leases.values.filter { it.isOverdue(nowMillis, times) }.onEach { it.expire(nowMillis) }

    /** Returns all that leases and the report say is or may be in use. */
    fun usage(): Usage {
        val usage = Usage()
        leases.values.forEach { usage.add(it.idFields.reserved, it.idFields.allocations) }
        report?.let { addReported(it, usage) }
        return usage
    }

    private fun addReported(report: EndpointReport, usage: Usage) {
        val uses = report.requests.filter { it.id !in leases && it.id !in ended }.map { it.toReportedUse() }
        uses.forEach { usage.add(it.amount, it.allocations) }
        val unlistedTokens = max(0, report.usedTokens - report.requests.sumOf { it.tokens })
        usage.add(Capacity(unlistedTokens, 0), emptyList())
    }

    /**
     * Ends leases that two reports do not list, taken when no request under them could still arrive.
     *
     * A report that has not changed since may be a stale one; the cancel decides then. Plain services, which know no
     * cancel, are believed.
     */
    private fun endUnlistedLeases(report: EndpointReport) {
        val hasMemory = config.endpoint.budgetTokens > 0
        val provenAtMillis = if (hasMemory) changeTakenAtMillis else report.takenAtMillis
        val listed = report.requests.mapTo(HashSet()) { it.id }
        leases.values.filter { it.id in listed }.forEach(Lease::resetAbsences)
        val absent = leases.values.filter {
            it.id !in listed && it.state != LeaseState.ACTIVE && it.lastArrivalMillis(times) < provenAtMillis
        }
        absent.filter { it.recordAbsence() }.forEach { leases.remove(it.id) }
    }

    private fun usablePledges(nowMillis: Long): List<ReceivedPledge> {
        val takenAtMillis = report?.takenAtMillis ?: return emptyList()
        return pledges.unexpired(nowMillis + times.minSendWindowMillis)
            .filter { it.sinceMillis + times.inFlightMillis <= takenAtMillis }
            .map { it.pledge }
    }
}
